/** Who counts when members say that they have lost a turn's value. */
import { describe, expect, it } from 'vitest';
import { MemoryValues } from '../../tests/support/memory-values.js';
import type { Member } from '../consensus/index.js';
import { createLogger } from '../observability/index.js';
import { encodeValue } from '../wire/index.js';
import { LedgerStateMachine } from './ledger-state-machine.js';
import { TurnValuesMissingError } from './turn-history-store.js';

const RETENTION_MS = 60_000;
const TURN = 'a';
const SNAPSHOT_INDEX = 10;

interface Holder {
  id: string;
  values: MemoryValues;
  state: LedgerStateMachine;
}

/** A member whose state names the turn and whose store may lack it. */
function memberWithState(id: string, hasValue: boolean): Holder {
  const values = new MemoryValues();
  const state = new LedgerStateMachine({
    values,
    readTurnsAt: () => Promise.reject(new Error('asks nobody')),
    logger: createLogger({ test: 'loss-reports' }),
  });
  const keep = { input: Buffer.from('in'), output: Buffer.from('out'), retentionMs: RETENTION_MS };
  const settlements = [{ program: 'p', attempt: TURN, spentTokens: 0, keep }];
  state.apply(encodeValue({ kind: 'settle', settlements, nowMs: 0 }));
  if (!hasValue) values.delete(TURN);
  return { id, values, state };
}

function member(id: string, address: string, role: Member['role']): Member {
  return { id, name: address, address, role };
}

describe('a value that a voter may still hold', () => {
  /**
   * Of three voters one has lost a value, one is out of reach and may hold it, and the third is gone with its disk.
   * At the third one's address its renewed member answers, a learner that lacks the value as well. The question
   * goes to an address: where the learner's word counts as the old voter's, two of three have lost the value, and the
   * member that asks gives it up.
   */
  it('is not given up by the word of a learner at the address of a voter that is gone', async () => {
    const holders = new Map([
      ['one', memberWithState('first', false)],
      ['two', memberWithState('second-renewed', false)],
    ]);
    const sources = [
      member('first', 'one', 'voter'),
      member('second', 'two', 'voter'),
      member('second-renewed', 'two', 'learner'),
      member('third', 'three', 'voter'),
    ];
    const asking = new LedgerStateMachine({
      values: new MemoryValues(),
      readTurnsAt: async (address, request) => {
        const holder = holders.get(address);
        if (!holder) throw new Error(`${address} is out of reach`);
        const answer = await holder.state.external.answer(request, true);
        return { ...answer, memberId: holder.id };
      },
      logger: createLogger({ test: 'loss-reports' }),
    });
    const state = Buffer.concat([...holders.get('one')!.state.snapshot()]);
    const snapshot = { index: SNAPSHOT_INDEX, term: 1, configuration: new Uint8Array(0), state };
    const fetched = asking.external.fetchMissing(snapshot, sources);
    await expect(fetched).rejects.toBeInstanceOf(TurnValuesMissingError);
  });
});
