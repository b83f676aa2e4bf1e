/** Reports of lost values must be attributed to the member that responded, not to its address. */
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

/** A member whose state contains the turn and whose store may lack its value. */
function createHolder(id: string, hasValue: boolean): Holder {
  const values = new MemoryValues();
  const state = new LedgerStateMachine({
    values,
    readTurnsAt: () => Promise.reject(new Error('has no peers')),
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
   * A learner at the address of a replaced voter reports a value as lost. If the report were counted for the voter, a
   * majority would have lost the value, although the unreachable third voter may still hold it.
   */
  it('is not abandoned because of a report by a learner at the address of a replaced voter', async () => {
    const holders = new Map([
      ['one', createHolder('first', false)],
      ['two', createHolder('second-renewed', false)],
    ]);
    const sources = [
      member('first', 'one', 'voter'),
      member('second', 'two', 'voter'),
      member('second-renewed', 'two', 'learner'),
      member('third', 'three', 'voter'),
    ];
    const requester = new LedgerStateMachine({
      values: new MemoryValues(),
      readTurnsAt: async (address, request) => {
        const holder = holders.get(address);
        if (!holder) throw new Error(`${address} is unreachable`);
        const answer = await holder.state.external.answer(request, true);
        return { ...answer, memberId: holder.id };
      },
      logger: createLogger({ test: 'loss-reports' }),
    });
    const state = Buffer.concat([...holders.get('one')!.state.snapshot()]);
    const snapshot = { index: SNAPSHOT_INDEX, term: 1, configuration: new Uint8Array(0), state };
    const fetched = requester.external.fetchMissing(snapshot, sources);
    await expect(fetched).rejects.toBeInstanceOf(TurnValuesMissingError);
  });
});
