/** Which group of the ledger a program belongs to. */
import { describe, expect, it } from 'vitest';
import { ledgerGroupName, ledgerGroupOf } from './ledger-groups.js';

const PROGRAMS = 8_000;

describe('the group of a program', () => {
  it('is one of the groups, with as many programs as any other', () => {
    const groups = 4;
    const counts = new Array<number>(groups).fill(0);
    for (let number = 0; number < PROGRAMS; number += 1)
      counts[ledgerGroupOf(`program-${number}`, groups)]! += 1;
    for (const count of counts) {
      expect(count).toBeGreaterThan((0.9 * PROGRAMS) / groups);
      expect(count).toBeLessThan((1.1 * PROGRAMS) / groups);
    }
  });

  /** Gateways of two releases that differ in it would each give a program its whole budget. */
  it('is the same in all releases', () => {
    const names = ['', 'p', '3fa81c', 'tenant:3fa81c', 'a program with a longer id, \u00fc'];
    expect(names.map((name) => ledgerGroupOf(name, 4))).toEqual([1, 2, 2, 1, 1]);
  });

  it('is the first one of a ledger with a single group, whose name is that of earlier releases', () => {
    expect(ledgerGroupOf('any', 1)).toBe(0);
    expect([0, 1, 2].map(ledgerGroupName)).toEqual(['ledger', 'ledger-2', 'ledger-3']);
  });
});
