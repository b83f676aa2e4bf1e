/** Refusal of new programs while the ledger's commands are delayed, however idle the engines are. */
import { expect, it } from 'vitest';
import { sampleCall } from '../../tests/support/sample-call.js';
import { ProgramAdmission, ledgerLoadOf } from './program-admission.js';

const SERVICE = 'engines';
const TYPICAL_MS = 400;
const IDLE_ENGINES = [{ load: 0, capacity: 10 }];
const PROGRAMS = 1_000;
const URGENT = 0;
const LESS_URGENT = 1;

function admittedShare(delayMs: number, priority: number, previousTurn?: string): number {
  const admission = new ProgramAdmission();
  const admits = (id: string, routePriority: number): boolean => {
    const call = sampleCall({ program: { id }, previousTurn });
    const ledgerLoad = ledgerLoadOf(delayMs, TYPICAL_MS);
    return admission.admits(SERVICE, routePriority, call, IDLE_ENGINES, ledgerLoad);
  };
  for (const known of [URGENT, LESS_URGENT]) admits('any', known);
  const ids = Array.from({ length: PROGRAMS }, (_, index) => `program-${index}`);
  return ids.filter((id) => admits(id, priority)).length / PROGRAMS;
}

it('admits all programs while a command is delayed by less than a fifth of a turn', () => {
  expect(admittedShare(0.2 * TYPICAL_MS, URGENT)).toBe(1);
});

it('refuses a rising share of new programs, less urgent ones first', () => {
  const urgent = admittedShare(0.3 * TYPICAL_MS, URGENT);
  expect(urgent).toBeGreaterThan(0.4);
  expect(urgent).toBeLessThan(0.6);
  expect(admittedShare(0.3 * TYPICAL_MS, LESS_URGENT)).toBeLessThan(urgent - 0.1);
  expect(admittedShare(0.4 * TYPICAL_MS, URGENT)).toBe(0);
});

it('admits turns of programs that have begun', () => {
  expect(admittedShare(TYPICAL_MS, LESS_URGENT, 'turn-1')).toBe(1);
});

it('tolerates delays of 10 ms whatever a turn takes', () => {
  expect(ledgerLoadOf(10, 1)).toBeLessThanOrEqual(1);
});

it('estimates a longer retry delay the more the ledger is delayed', () => {
  const admission = new ProgramAdmission();
  const drainMs = (load: number): number =>
    admission.drainMs(SERVICE, IDLE_ENGINES, TYPICAL_MS, load);
  expect(drainMs(1)).toBe(0);
  expect(drainMs(2)).toBe(TYPICAL_MS / 2);
  expect(drainMs(4)).toBeGreaterThan(drainMs(2));
});
