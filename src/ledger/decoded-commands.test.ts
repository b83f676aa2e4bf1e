import { describe, expect, it } from 'vitest';
import { encodeValue } from '../wire/index.js';
import { DecodedCommands } from './decoded-commands.js';
import type { LedgerCommand } from './ledger-commands.js';

const INDEX = 7;

function settleAt(nowMs: number): LedgerCommand {
  return { kind: 'settle', settlements: [], nowMs };
}

describe('commands', () => {
  it('are decoded once for the arrival of an entry, its log and its application', () => {
    const commands = new DecodedCommands();
    const data = encodeValue(settleAt(1));
    const arrived = commands.decode(INDEX, data);
    expect(commands.decode(INDEX, data)).toBe(arrived);
    expect(commands.take(INDEX, Buffer.from(data))).toBe(arrived);
  });

  it('are not taken from an entry that another leader has replaced', () => {
    const commands = new DecodedCommands();
    commands.decode(INDEX, encodeValue(settleAt(1)));
    expect(commands.take(INDEX, encodeValue(settleAt(2)))).toEqual(settleAt(2));
    commands.decode(INDEX, encodeValue(settleAt(1)));
    commands.decode(INDEX, encodeValue(settleAt(3)));
    expect(commands.take(INDEX, encodeValue(settleAt(3)))).toEqual(settleAt(3));
  });

  it('are decoded when they are applied again', () => {
    const commands = new DecodedCommands();
    const data = encodeValue(settleAt(1));
    const arrived = commands.decode(INDEX, data);
    expect(commands.take(INDEX, data)).toBe(arrived);
    expect(commands.take(INDEX, data)).not.toBe(arrived);
  });
});
