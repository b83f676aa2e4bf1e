/**
 * Restart of a member that lacks the values of expired turns which its log or its snapshot still refers to. It must tell
 * a member that lags behind it that these turns have expired, or the two of them commit nothing.
 */
import { describe, expect, it } from 'vitest';
import { LoopbackNetwork } from '../../tests/support/loopback-network.js';
import { MemoryValues } from '../../tests/support/memory-values.js';
import type { Member, ReplicatedGroup } from '../consensus/index.js';
import type { LogEntry } from '../log-store/index.js';
import { createLogger } from '../observability/index.js';
import { MethodRouter, encodeValue } from '../wire/index.js';
import type { SettleCommand, Settlement } from './ledger-commands.js';
import { LedgerStateMachine } from './ledger-state-machine.js';
import { LedgerService, registerLedgerHandlers } from './ledger-service.js';
import { READ_TURNS, type ReadTurnsRequest, type ReadTurnsResponse } from './messages.js';

const SHORT_RETENTION_MS = 1_000;
/** Time at which turns with the short retention have expired. */
const LATER_MS = 60_000;
const KEEPING_INDEX = 5;
const SWEEPING_INDEX = 6;

function memberNamed(name: string): Member {
  return { id: `${name}-id`, name, address: name, role: 'voter' };
}

const FIRST = memberNamed('first');
const SECOND = memberNamed('second');

function createState(
  read?: (request: ReadTurnsRequest) => Promise<ReadTurnsResponse>,
  values = new MemoryValues(),
): LedgerStateMachine {
  return new LedgerStateMachine({
    values,
    readTurnsAt: (_address, request) => read?.(request) ?? Promise.reject(new Error('no peers')),
    logger: createLogger({ test: 'expired-turns-restart' }),
  });
}

/** Reads from a member that has applied entries up to an index. */
function readerOf(state: LedgerStateMachine, appliedIndex: number, member: Member) {
  return async (request: ReadTurnsRequest): Promise<ReadTurnsResponse> => {
    const isStateRecentEnough = request.atIndex !== undefined && appliedIndex >= request.atIndex;
    const response = await state.external.answer(request, isStateRecentEnough);
    return { ...response, memberId: member.id, commitIndex: appliedIndex };
  };
}

function settle(index: number, nowMs: number, keptTurns: readonly string[]): LogEntry {
  const settlements = keptTurns.map((attempt): Settlement => {
    return { program: 'p', attempt, spentTokens: 1, keep: { retentionMs: SHORT_RETENTION_MS } };
  });
  const command: SettleCommand = { kind: 'settle', settlements, nowMs };
  return { index, term: 1, kind: 'command', data: encodeValue(command) };
}

const KEEPING = settle(KEEPING_INDEX, 0, ['over']);
const SWEEPING = settle(SWEEPING_INDEX, LATER_MS, []);

/** A leader that has kept a turn and applied its expiry. */
async function leaderAfterExpiry(): Promise<LedgerStateMachine> {
  const leader = createState();
  await leader.external.storeValues(new Map([['over', Buffer.from('value')]]));
  for (const { data, index } of [KEEPING, SWEEPING]) leader.apply(data, index);
  return leader;
}

describe('a member that received an entry whose turn had expired', () => {
  /**
   * Its log holds the entry with an empty value. After a restart it has not applied the expiry again, and must not leave
   * a request for the value unanswered.
   */
  it('tells a member that lags behind the entry after a restart', async () => {
    const first = await leaderAfterExpiry();
    const values = new MemoryValues();
    const second = createState(readerOf(first, SWEEPING_INDEX, FIRST), values);
    const logged = await second.external.attach([KEEPING, SWEEPING], [FIRST], false);
    second.external.noteLogged(logged);
    const restarted = createState(undefined, values);
    restarted.external.noteLogged(logged);
    const third = createState(readerOf(restarted, KEEPING_INDEX - 1, SECOND));
    const attached = await third.external.attach([KEEPING, SWEEPING], [SECOND], false);
    expect(attached[0]!.attachments).toEqual([Buffer.alloc(0)]);
  });

  it('learns up to which index entries are committed, to apply the expiry after a restart', async () => {
    const first = await leaderAfterExpiry();
    const second = createState(readerOf(first, SWEEPING_INDEX, FIRST));
    await second.external.attach([KEEPING], [FIRST], false);
    expect(second.external.deletions.reportedCommitIndex).toBe(SWEEPING_INDEX);
  });

  it('requires the value again if the turn is kept again', async () => {
    const first = await leaderAfterExpiry();
    const second = createState(readerOf(first, SWEEPING_INDEX, FIRST));
    second.external.noteLogged(await second.external.attach([KEEPING], [FIRST], false));
    const again = Buffer.from('again');
    await second.external.storeValues(new Map([['over', again]]));
    const request = { turns: ['over'], atIndex: KEEPING_INDEX };
    const response = await second.external.answer(request, false);
    expect(response.values).toEqual([['over', again]]);
  });
});

describe('a member that installed a snapshot with turns that had expired', () => {
  /** The values are not lost: members would give up on them, and log an error. */
  it('reports these turns as expired, not as lost, before it has applied the expiry', async () => {
    const first = createState();
    await first.external.storeValues(new Map([['over', Buffer.from('value')]]));
    first.apply(KEEPING.data, KEEPING.index);
    const state = Buffer.concat([...first.snapshot()]);
    first.apply(SWEEPING.data, SWEEPING.index);
    const second = createState(readerOf(first, SWEEPING_INDEX, FIRST));
    const snapshot = { index: KEEPING_INDEX, term: 1, configuration: new Uint8Array(0), state };
    await second.external.fetchMissing(snapshot, [FIRST]);
    second.restore(state);
    const response = await second.external.answer(
      { turns: ['over'], atIndex: KEEPING_INDEX },
      true,
    );
    expect(response).toMatchObject({ expired: ['over'], lost: [] });
    expect(second.external.deletions.reportedCommitIndex).toBe(SWEEPING_INDEX);
  });
});

describe('a member that restarted and has not applied all entries that it knows to be committed', () => {
  /** The value was deleted with an entry that it has not applied again. */
  it('does not report a value as lost, and returns the commit index of its disk', async () => {
    const state = createState();
    state.apply(KEEPING.data, KEEPING.index);
    const group = {
      ownId: FIRST.id,
      commitIndex: KEEPING_INDEX,
      applier: { appliedIndex: KEEPING_INDEX },
      log: { savedCommitIndex: SWEEPING_INDEX },
    } as unknown as ReplicatedGroup;
    const service = new LedgerService({
      peers: { notify: () => undefined },
      stateMachine: state,
      findGroup: () => group,
      isUnderMemoryPressure: () => false,
    });
    const network = new LoopbackNetwork();
    const router = new MethodRouter();
    registerLedgerHandlers(router, () => service);
    network.listen(FIRST.address, router);
    const request = { turns: ['over'], atIndex: KEEPING_INDEX };
    const peers = network.peersOf(SECOND.address);
    const response = await peers.call(FIRST.address, READ_TURNS, request, { timeoutMs: 1_000 });
    expect(response).toMatchObject({ lost: [], expired: [], commitIndex: SWEEPING_INDEX });
  });
});

describe('the value of an expired turn', () => {
  /** A restart goes back to the snapshot, and has the value neither in the store nor in the log. */
  it('is deleted after the commit index is durable if a snapshot refers to the turn', async () => {
    const values = new MemoryValues();
    const state = createState(undefined, values);
    await state.external.storeValues(new Map([['over', Buffer.from('value')]]));
    state.apply(KEEPING.data, KEEPING.index);
    expect([...state.snapshot()]).not.toEqual([]);
    state.apply(SWEEPING.data, SWEEPING.index);
    const { deletions } = state.external;
    expect(deletions.isPending).toBe(true);
    deletions.deleteUpTo(SWEEPING_INDEX - 1);
    expect(values.has('over')).toBe(true);
    deletions.deleteUpTo(SWEEPING_INDEX);
    expect(values.has('over')).toBe(false);
    expect(deletions.isPending).toBe(false);
  });

  it('is deleted at once if no snapshot refers to the turn, since the log has it', async () => {
    const values = new MemoryValues();
    const state = createState(undefined, values);
    expect([...state.snapshot()]).not.toEqual([]);
    await state.external.storeValues(new Map([['over', Buffer.from('value')]]));
    state.apply(KEEPING.data, KEEPING.index);
    state.apply(SWEEPING.data, SWEEPING.index);
    expect(values.has('over')).toBe(false);
  });

  /** The first sweep after a restart deletes values that nothing refers to. */
  it('is not taken for an orphan while it waits for the commit index', async () => {
    const values = new MemoryValues();
    const before = createState(undefined, values);
    await before.external.storeValues(new Map([['over', Buffer.from('value')]]));
    before.apply(KEEPING.data, KEEPING.index);
    const state = Buffer.concat([...before.snapshot()]);
    const restarted = createState(undefined, values);
    restarted.restore(state);
    restarted.apply(SWEEPING.data, SWEEPING.index);
    expect(values.has('over')).toBe(true);
    restarted.external.deletions.deleteUpTo(SWEEPING_INDEX);
    expect(values.has('over')).toBe(false);
  });
});
