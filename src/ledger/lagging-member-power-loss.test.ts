/** Recovery of a lagging member that missed kept turns and their expiry, and is needed for the next commit. */
import { describe, expect, it } from 'vitest';
import { MemoryValues } from '../../tests/support/memory-values.js';
import type { Member } from '../consensus/index.js';
import type { LogEntry } from '../log-store/index.js';
import { createLogger } from '../observability/index.js';
import { encodeValue } from '../wire/index.js';
import type { SettleCommand, Settlement } from './ledger-commands.js';
import { LedgerStateMachine } from './ledger-state-machine.js';
import type { ReadTurnsResponse, ReadTurnsRequest } from './messages.js';

const LEADER: Member = { id: 'leader-id', name: 'leader', address: 'leader', role: 'voter' };
const SHORT_RETENTION_MS = 1_000;
/** Time at which turns with the short retention have expired. */
const LATER_MS = 60_000;
/** A leader resends entries that were not acknowledged. */
const ATTEMPTS = 3;

function createState(
  readTurnsAt: (request: ReadTurnsRequest) => Promise<ReadTurnsResponse>,
  values = new MemoryValues(),
): LedgerStateMachine {
  return new LedgerStateMachine({
    values,
    readTurnsAt: (address, request) =>
      address === LEADER.address ? readTurnsAt(request) : Promise.reject(new Error('silent')),
    logger: createLogger({ test: 'lagging-member' }),
  });
}

function settle(index: number, nowMs: number, keptTurns: readonly string[]): LogEntry {
  const settlements = keptTurns.map((attempt): Settlement => {
    const keep = { retentionMs: SHORT_RETENTION_MS };
    return { program: 'p', attempt, spentTokens: 1, keep };
  });
  const command: SettleCommand = { kind: 'settle', settlements, nowMs };
  return { index, term: 1, kind: 'command', data: encodeValue(command) };
}

async function isAccepted(state: LedgerStateMachine, entries: LogEntry[]): Promise<boolean> {
  for (let count = 0; count < ATTEMPTS; count += 1) {
    try {
      await state.external.attach(entries, [LEADER], false);
      return true;
    } catch {
      // Retried.
    }
  }
  return false;
}

describe('a member that was away', () => {
  /**
   * The batch contains entries whose turns have expired and an uncommitted entry. A fetch as of the uncommitted entry
   * gets no report of expired turns, since the leader has not applied it, and would block all commits.
   */
  it('takes entries that name turns which are over, together with one that waits for its commit', async () => {
    const kept = settle(5, 0, ['over']);
    const sweeping = settle(6, LATER_MS, []);
    const uncommitted = settle(7, LATER_MS, ['new']);
    const leader = createState(() => Promise.reject(new Error('the leader sends no requests')));
    for (const { data, index } of [kept, sweeping]) leader.apply(data, index);
    await leader.external.storeValues(new Map([['new', Buffer.from('value')]]));
    const follower = createState(async (request) => {
      const isStateRecentEnough =
        request.atIndex !== undefined && request.atIndex <= sweeping.index;
      return leader.external.answer(request, isStateRecentEnough);
    });
    expect(await isAccepted(follower, [kept, sweeping, uncommitted])).toBe(true);
  });
});

describe('a turn that is settled again when its first keeping is just over', () => {
  /**
   * A gateway retried a settlement. When the first keep expires, the value must not be deleted, since an unapplied log
   * entry of the retry refers to it.
   */
  it('has its value for as long as an entry of the log names it', async () => {
    const state = createState(() => Promise.reject(new Error('no other member has it')));
    const { external } = state;
    const value = Buffer.from('value');
    const kept = settle(5, 0, ['turn']);
    const sweeping = settle(6, LATER_MS, []);
    const again = settle(7, LATER_MS, ['turn']);
    await external.storeValues(new Map([['turn', value]]));
    external.noteLogged([kept]);
    state.apply(kept.data, kept.index);
    external.noteLogged([sweeping]);
    await external.storeValues(new Map([['turn', value]]));
    external.noteLogged([again]);
    state.apply(sweeping.data, sweeping.index);
    expect((await external.attach([again], [LEADER], false))[0]?.attachments).toEqual([value]);
    state.apply(again.data, again.index);
    expect(await external.read('turn', [])).toEqual(value);
  });
});

describe('a member that came back to a snapshot older than the end of some turns', () => {
  /**
   * After a power failure the leader restores a snapshot that refers to turns whose values it had already deleted. It
   * cannot apply their expiry again until the lagging member has caught up, which must not wait for these values.
   */
  it('brings a member up to that snapshot that lags behind it', async () => {
    const noPeers = (): Promise<ReadTurnsResponse> =>
      Promise.reject(new Error('no other member runs'));
    const values = new MemoryValues();
    const before = createState(noPeers, values);
    await before.external.storeValues(new Map([['over', Buffer.from('value')]]));
    const kept = settle(5, 0, ['over']);
    before.external.noteLogged([kept]);
    before.apply(kept.data, kept.index);
    const state = Buffer.concat([...before.snapshot()]);
    const sweeping = settle(6, LATER_MS, []);
    before.apply(sweeping.data, sweeping.index);
    const leader = createState(noPeers, values);
    leader.restore(state);
    const follower = createState(async (request) => {
      const answer = await leader.external.answer(request, true);
      return { ...answer, memberId: LEADER.id };
    });
    const snapshot = { index: 5, term: 1, configuration: new Uint8Array(0), state };
    const silent: Member = { id: 'lost-id', name: 'lost', address: 'lost', role: 'voter' };
    await expect(follower.external.fetchMissing(snapshot, [LEADER, silent])).resolves.toBe(
      undefined,
    );
  });
});
