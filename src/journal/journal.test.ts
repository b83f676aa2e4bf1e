/** Behavior of each journal command. */
import { beforeEach, describe, expect, it } from 'vitest';
import {
  MAX_CALL_COST,
  JournalBench,
  LIMITS,
  PROMPT_TOKENS,
  TENANT,
} from '../../tests/support/journal-bench.js';
import { decodeValue } from '../wire/index.js';
import { JournalStateMachine } from './journal-state-machine.js';
import { answerJournalQuery } from './queries.js';

const bench = new JournalBench();
const { apply, open, beginCommand, begin, finish, restart, summary } = bench;

beforeEach(() => bench.reset());

describe('call order', () => {
  it('begins a call only after the previous one is settled', () => {
    const program = open();
    expect(begin(program, 2)).toMatchObject({ status: 'refused', reason: 'out-of-order' });
    expect(begin(program, 1)).toMatchObject({ status: 'begun' });
    expect(begin(program, 2, { submission: 2 })).toMatchObject({ reason: 'call-in-progress' });
    finish(program, 1);
    expect(begin(program, 2, { submission: 3 })).toMatchObject({ status: 'begun' });
  });
});

describe('at-most-once execution', () => {
  it('returns the recorded call for a repeated submission', () => {
    const program = open();
    begin(program, 1);
    expect(begin(program, 1)).toMatchObject({ status: 'running' });
    finish(program, 1);
    const again = begin(program, 1);
    expect(again).toMatchObject({ status: 'settled', call: { settled: { outcome: 'completed' } } });
  });

  it('accepts a retried begin with the same token', () => {
    const program = open();
    const command = beginCommand(program, 1);
    apply(command);
    expect(apply(command)).toMatchObject({ status: 'begun' });
  });

  it('reports a conflict for another request with the same sequence number', () => {
    const program = open();
    begin(program, 1);
    finish(program, 1);
    expect(begin(program, 1, { requestHash: 'other' })).toEqual({ status: 'conflict' });
  });

  it('does not restart a call that is not repeatable', () => {
    const program = open();
    const service = { name: 'pay', operation: 'write', payload: '1' };
    const request = { kind: 'service' as const, messages: [], maxOutputTokens: 0, service };
    begin(program, 1, { request: { ...request, isRepeatable: false }, serviceCost: 1 });
    expect(restart(program, 1, {})).toMatchObject({ status: 'running' });
  });

  it('lets one gateway restart a lost attempt, and fences the old attempt', () => {
    const program = open();
    begin(program, 1);
    expect(restart(program, 1, {})).toMatchObject({ status: 'begun' });
    expect(restart(program, 1, {})).toMatchObject({ status: 'running' });
    expect(finish(program, 1, { attempt: 1 })).toMatchObject({ status: 'running' });
    expect(finish(program, 1, { attempt: 2 })).toMatchObject({ status: 'settled' });
  });
});

describe('refused submissions', () => {
  it('prevents a refused submission from running later', () => {
    const program = open();
    begin(program, 2);
    begin(program, 1);
    finish(program, 1);
    expect(begin(program, 2)).toMatchObject({ reason: 'refused-before' });
    expect(begin(program, 2, { submission: 2 })).toMatchObject({ status: 'begun' });
  });

  it('does not run a submission that a gateway refused', () => {
    const program = open();
    const refuse = { programId: program, tenant: TENANT, sequence: 1, submission: 1 };
    apply({ type: 'refuse', reason: 'overloaded', ...refuse });
    expect(begin(program, 1)).toMatchObject({ reason: 'refused-before' });
  });

  it('does not refuse a running call', () => {
    const program = open();
    begin(program, 1);
    const refuse = { programId: program, tenant: TENANT, sequence: 1, submission: 1 };
    const answer = apply({ type: 'refuse', reason: 'overloaded', ...refuse });
    expect(answer).toMatchObject({ status: 'running' });
  });

  it('withdraws an attempt only for the gateway that owns it', () => {
    const program = open();
    const command = beginCommand(program, 1);
    apply(command);
    const withdraw = { type: 'withdraw', programId: program, tenant: TENANT, sequence: 1 } as const;
    const reason = 'backend-refused' as const;
    expect(apply({ ...withdraw, attempt: 1, token: 'other', reason })).toMatchObject({
      status: 'running',
    });
    expect(apply({ ...withdraw, attempt: 1, token: command.token, reason })).toMatchObject({
      status: 'refused',
    });
    expect(summary(program).reserved).toBe(0);
    expect(begin(program, 1)).toMatchObject({ reason: 'refused-before' });
  });

  it('does not withdraw a call if an earlier attempt may have run', () => {
    const program = open();
    begin(program, 1);
    const second = restart(program, 1, { token: 'second' });
    expect(second).toMatchObject({ status: 'begun', call: { mayHaveRun: true } });
    const reason = 'backend-refused' as const;
    const withdraw = { programId: program, tenant: TENANT, sequence: 1, attempt: 2, reason };
    expect(apply({ type: 'withdraw', token: 'second', ...withdraw })).toMatchObject({
      status: 'running',
    });
  });
});

describe('budget', () => {
  it('reserves the maximum cost, settles the actual cost and refuses calls that are not covered', () => {
    const program = open({ budget: MAX_CALL_COST });
    begin(program, 1);
    expect(summary(program)).toMatchObject({ spent: 0, reserved: MAX_CALL_COST });
    finish(program, 1);
    expect(summary(program)).toMatchObject({ spent: PROMPT_TOKENS + 10, reserved: 0 });
    expect(begin(program, 2)).toMatchObject({ reason: 'budget-exhausted' });
  });

  it('does not let concurrent sub-agents overspend the root budget', () => {
    const root = open({ budget: MAX_CALL_COST });
    const [left, right] = [open({ parent: root }), open({ parent: root })];
    expect(begin(left, 1)).toMatchObject({ status: 'begun' });
    expect(begin(right, 1)).toMatchObject({ reason: 'budget-exhausted' });
  });

  it('charges a lost attempt in full before a restart', () => {
    const program = open({ budget: 2 * MAX_CALL_COST - 1 });
    begin(program, 1);
    const answer = restart(program, 1, {});
    expect(answer).toMatchObject({ status: 'settled', call: { settled: { outcome: 'unknown' } } });
    expect(summary(program)).toMatchObject({ spent: MAX_CALL_COST, reserved: 0 });
  });

  it('releases the reservation of an attempt that certainly never ran', () => {
    const program = open({ budget: MAX_CALL_COST });
    begin(program, 1, { token: 'first' });
    expect(restart(program, 1, { neverRanToken: 'first' })).toMatchObject({ status: 'begun' });
    expect(summary(program)).toMatchObject({ spent: 0, reserved: MAX_CALL_COST });
  });
});

describe('tenant isolation', () => {
  it('hides a program from other tenants in every command and query', () => {
    const program = open();
    begin(program, 1);
    const other = { programId: program, tenant: 'finance' };
    expect(begin(program, 2, { tenant: 'finance' })).toEqual({ status: 'unknown-program' });
    expect(apply({ type: 'end', reason: 'ended-by-caller', ...other })).toEqual({
      status: 'unknown-program',
    });
    expect(finish(program, 1, other)).toEqual({ status: 'unknown-program' });
    for (const query of [
      { type: 'program' as const, ...other },
      { type: 'call' as const, sequence: 1, ...other },
      { type: 'history' as const, afterSequence: 0, ...other },
    ]) {
      expect(answerJournalQuery(bench.machine.state, query)).toEqual({ status: 'unknown-program' });
    }
  });

  it('rejects a program of another tenant as a parent', () => {
    const root = open();
    const answer = apply({
      type: 'open',
      programId: `${root}.c`,
      tenant: 'finance',
      parent: root,
      model: 'm',
      budget: 1,
      deadlineMs: 1,
      limits: LIMITS,
    });
    expect(answer).toMatchObject({ status: 'refused', reason: 'parent-unavailable' });
  });
});

describe('limits', () => {
  it('refuses a call that was repeated too often', () => {
    const program = open();
    for (const sequence of [1, 2, 3]) {
      begin(program, sequence, { requestHash: 'same' });
      finish(program, sequence);
    }
    expect(begin(program, 4, { requestHash: 'same' })).toMatchObject({ reason: 'looping' });
  });

  it('limits the number of calls and the nesting depth', () => {
    const program = open({ limits: { ...LIMITS, maxCalls: 1, maxDepth: 0 } });
    begin(program, 1);
    finish(program, 1);
    expect(begin(program, 2)).toMatchObject({ reason: 'call-limit' });
    expect(
      apply({
        type: 'open',
        programId: `${program}.c`,
        tenant: TENANT,
        parent: program,
        model: 'm',
        budget: 1,
        deadlineMs: 1,
        limits: LIMITS,
      }),
    ).toMatchObject({ reason: 'depth-limit' });
  });

  it('ends programs at their deadline and after the idle timeout', () => {
    const late = open({ deadlineMs: 100 });
    const idle = open({ limits: { ...LIMITS, idleTimeoutMs: 50 } });
    apply({ type: 'sweep' }, 60);
    expect([summary(late).status, summary(idle).status]).toEqual(['open', 'ended']);
    apply({ type: 'sweep' }, 200);
    expect(summary(late).status).toBe('ended');
  });
});

describe('end', () => {
  it('ends sub-agents too, and requests a release from each backend until it is confirmed', () => {
    const root = open();
    const child = open({ parent: root });
    begin(root, 1);
    finish(root, 1);
    begin(child, 1, { backend: 'engine-2' });
    apply({ type: 'end', programId: root, tenant: TENANT, reason: 'ended-by-caller' });
    expect(summary(child).status).toBe('ended');
    const releases = (): [string, string[]][] =>
      [...bench.machine.state.releases].map(([program, backends]) => [program, [...backends]]);
    expect(releases()).toEqual([
      [root, ['engine-1']],
      [child, ['engine-2']],
    ]);
    apply({ type: 'released', programId: root, backend: 'engine-1' });
    expect(releases()).toEqual([[child, ['engine-2']]]);
  });

  it('requests another release when an attempt finishes after its program ended', () => {
    const program = open();
    begin(program, 1);
    apply({ type: 'end', programId: program, tenant: TENANT, reason: 'ended-by-caller' });
    apply({ type: 'released', programId: program, backend: 'engine-1' });
    finish(program, 1);
    expect([...bench.machine.state.releases.keys()]).toEqual([program]);
  });

  it('settles a running call as unknown and charges it in full', () => {
    const program = open();
    begin(program, 1);
    apply({ type: 'end', programId: program, tenant: TENANT, reason: 'ended-by-caller' });
    expect(summary(program)).toMatchObject({ spent: MAX_CALL_COST, reserved: 0 });
    expect(begin(program, 1)).toMatchObject({ status: 'settled' });
  });
});

describe('snapshots', () => {
  it('restore the same state', () => {
    const program = open();
    begin(program, 1);
    finish(program, 1);
    begin(program, 3);
    const copy = new JournalStateMachine(() => undefined);
    copy.restore(Buffer.concat([...bench.machine.snapshot()]));
    const [encodedCopy] = copy.snapshot();
    const [encoded] = bench.machine.snapshot();
    expect(decodeValue(encodedCopy!)).toEqual(decodeValue(encoded!));
    bench.machine = copy;
    expect(begin(program, 3)).toMatchObject({ reason: 'refused-before' });
  });
});
