/** A member that was away while turns were kept and went, and is needed for the next commit. */
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
/** Turns that are kept for so short a time are over by then. */
const LATER_MS = 60_000;
/** A leader sends the same entries again where it got no answer. */
const TRIES = 3;

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

async function isTaken(state: LedgerStateMachine, entries: LogEntry[]): Promise<boolean> {
  for (let count = 0; count < TRIES; count += 1) {
    try {
      await state.external.attach(entries, [LEADER], false);
      return true;
    } catch {
      // Sent again.
    }
  }
  return false;
}

describe('a member that was away', () => {
  /**
   * One of three members was away while the other two kept turns, some of which were over by the time it came back;
   * then another lost its disk. The leader sent it all that it lacked in one go, with an entry at the end that nothing
   * could commit without it. It asked for the values as of that last entry, which the leader had not applied, so that the
   * leader didn't say which turns were over: `kept turns fetched {"asked":16,"missing":16}` once a second, and no
   * commit any more, though the leader's state had let these turns go.
   */
  it('takes entries that name turns which are over, together with one that waits for its commit', async () => {
    const kept = settle(5, 0, ['over']);
    const sweeping = settle(6, LATER_MS, []);
    const uncommitted = settle(7, LATER_MS, ['new']);
    const leader = createState(() => Promise.reject(new Error('the leader asks nobody')));
    for (const { data, index } of [kept, sweeping]) leader.apply(data, index);
    await leader.external.storeValues(new Map([['new', Buffer.from('value')]]));
    const follower = createState(async (request) => {
      const isStateLateEnough = request.atIndex !== undefined && request.atIndex <= sweeping.index;
      return leader.external.answer(request, isStateLateEnough);
    });
    expect(await isTaken(follower, [kept, sweeping, uncommitted])).toBe(true);
  });
});

describe('a turn that is settled again when its first keeping is just over', () => {
  /**
   * A gateway that got no answer settled a turn again. The second entry was in the log, and not applied, when a command
   * before it ended the first keeping: the value was dropped with it, though the second entry names it. Whoever asked
   * for it then got it from nobody, and once the entry was applied the state kept a turn without a value. What drawn
   * schedules showed fits this: a new member asked for a few values for good, which were over in nobody's state yet.
   */
  it('has its value for as long as an entry of the log names it', async () => {
    const state = createState(() => Promise.reject(new Error('nobody else has it')));
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
   * All three members lost their power and one its disk, while another lagged so far behind that it needed a snapshot.
   * The leader's latest snapshot named fifteen turns that had been over when the power went: their values had left the
   * disk with the command that ended them, which the leader may not apply again before the lagging member has caught up.
   * So that one asked for them for good, `kept turns restored {"named":692,"missing":15}` at the leader, `kept turns
   * fetched {"asked":105,"missing":105}` at the other, and the group of two committed nothing any more.
   */
  it('brings a member up to that snapshot that lags behind it', async () => {
    const nobody = (): Promise<ReadTurnsResponse> => Promise.reject(new Error('nobody else runs'));
    const values = new MemoryValues();
    const before = createState(nobody, values);
    await before.external.storeValues(new Map([['over', Buffer.from('value')]]));
    const kept = settle(5, 0, ['over']);
    before.external.noteLogged([kept]);
    before.apply(kept.data, kept.index);
    const state = Buffer.concat([...before.snapshot()]);
    const sweeping = settle(6, LATER_MS, []);
    before.apply(sweeping.data, sweeping.index);
    const leader = createState(nobody, values);
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
