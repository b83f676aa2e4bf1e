/** Each invariant accepts a valid history and rejects histories that violate it. */
import { describe, expect, it } from 'vitest';
import type { ObservedCall, ObservedProgram } from '../../workload/recorder.js';
import { type TortureHistory, emptyHistory } from '../history.js';
import { checkHistory, type InvariantName } from './index.js';

const PROGRAM = 'p1';
const ENGINE = 'engine-1';

function program(change: Partial<ObservedProgram> = {}): ObservedProgram {
  return {
    id: PROGRAM,
    className: 'lint',
    tenant: 'health',
    submittedAtMs: 0,
    lastAnswerAtMs: 300,
    endedAtMs: 400,
    budget: 1_000,
    isRoot: true,
    isComplete: true,
    isEnded: true,
    pausedMs: 0,
    ...change,
  };
}

function call(sequence: number, change: Partial<ObservedCall> = {}): ObservedCall {
  return {
    program: PROGRAM,
    tenant: 'health',
    sequence,
    kind: 'model',
    isRepeatable: true,
    startedAtMs: sequence * 100,
    endedAtMs: sequence * 100 + 50,
    outcome: 'completed',
    answer: `answer ${sequence}`,
    isCorrect: true,
    cost: 30,
    knownPrefixTokens: 0,
    exchanges: 1,
    ...change,
  };
}

function arrival(sequence: number, wallClockMs: number): TortureHistory['arrivals'][number] {
  const tenant = 'health';
  const work = { engine: ENGINE, tenant, program: PROGRAM, sequence, attempt: 1 };
  return { ...work, promptTokens: 20, wallClockMs };
}

function execution(sequence: number, wallClockMs: number): TortureHistory['executions'][number] {
  return { ...arrival(sequence, wallClockMs), outputTokens: 10, outcome: 'finished' };
}

/** Two model calls and a service call, in order. */
function validHistory(): TortureHistory {
  return {
    ...emptyHistory(1),
    programs: [program()],
    calls: [
      call(1),
      call(2),
      call(3, { kind: 'service', isRepeatable: false, payload: 'pay 1', answer: 'done' }),
    ],
    exchanges: [1, 2, 3].map((sequence) => ({
      program: PROGRAM,
      sequence,
      submission: 1,
      gateway: 'gateway',
      startedAtMs: sequence * 100,
      endedAtMs: sequence * 100 + 50,
      kind: 'answer',
    })),
    arrivals: [arrival(1, 110), arrival(2, 210)],
    executions: [execution(1, 140), execution(2, 240)],
    serviceExecutions: [{ key: `${PROGRAM}/3/1`, payload: 'pay 1', wallClockMs: 310 }],
    refusedPayloads: [{ payload: 'early', code: 'out_of_order' }],
    copiedCalls: [
      {
        program: 'p2',
        sequence: 1,
        payload: 'copy',
        isRepeatable: false,
        answers: ['done', 'done'],
      },
    ],
    repeatedReads: [
      { program: PROGRAM, sequence: 1, firstAnswer: 'answer 1', laterAnswer: 'answer 1' },
    ],
    foreignReads: [{ program: PROGRAM, answer: 'unknown', answerForNoProgram: 'unknown' }],
    spending: [{ program: PROGRAM, budget: 1_000, spent: 61 }],
    leavings: [{ engine: ENGINE, acceptedAtMs: 1_000, untilMs: 6_000 }],
    plannedStops: [
      {
        process: 'gateway-1',
        kind: 'gateway',
        address: 'gateway',
        signalledAtMs: 120,
        exitedAtMs: 200,
        exitCode: 0,
      },
    ],
    confirms: [
      {
        requestId: 'r1',
        planId: 'plan-a',
        baseRevision: 1,
        contentHash: 'hash-a',
        outcome: 'accepted',
        revision: 2,
        revisionContentHash: 'hash-a',
        answeredAtMs: 1_000,
      },
      {
        requestId: 'r2',
        planId: 'plan-b',
        baseRevision: 1,
        contentHash: 'hash-b',
        outcome: 'refused',
        answeredAtMs: 1_001,
      },
    ],
    sightings: [
      { gateway: 'gateway-1', revision: 1, atMs: 900 },
      { gateway: 'gateway-1', revision: 2, atMs: 1_200 },
    ],
    inForce: [{ revision: 2, afterMs: 200 }],
    finalRevisions: [{ revision: 2, planId: 'plan-a', contentHash: 'hash-a' }],
    memory: [{ engine: ENGINE, endedPrograms: 1, remaining: [] }],
  };
}

function violatedInvariants(change: (history: TortureHistory) => void): InvariantName[] {
  const history = validHistory();
  change(history);
  const { violations } = checkHistory(history);
  return [...new Set(violations.map((violation) => violation.promise))];
}

describe('checker', () => {
  it('accepts a valid history and tests every invariant', () => {
    const { tested, violations } = checkHistory(validHistory());
    expect(violations).toEqual([]);
    expect(Object.entries(tested).filter(([, times]) => times === 0)).toEqual([]);
  });

  it.each<[string, InvariantName, (history: TortureHistory) => void]>([
    [
      'a call that started before its predecessor',
      'order',
      (h) => (h.arrivals[1]!.wallClockMs = 50),
    ],
    [
      'a call that started before its predecessor finished',
      'order',
      (h) => (h.arrivals[1]!.wallClockMs = 130),
    ],
    ['a recorded answer that changed', 'history', (h) => (h.repeatedReads[0]!.laterAnswer = '')],
    [
      "a response that reveals another tenant's program",
      'isolation',
      (h) => (h.foreignReads[0]!.answer = 'forbidden'),
    ],
    [
      'a program that reached an engine under another tenant',
      'isolation',
      (h) => (h.arrivals[0]!.tenant = 'finance'),
    ],
    ['spending above the budget', 'budget', (h) => (h.executions[0]!.outputTokens = 990)],
    [
      'a sub-agent that exceeds the budget of its parent',
      'budget',
      (h) =>
        h.executions.push({ ...execution(1, 300), program: `${PROGRAM}.c1`, outputTokens: 950 }),
    ],
    ['spending that is not accounted for', 'budget', (h) => (h.spending[0]!.spent = 10)],
    [
      'memory held for an ended program',
      'engine-memory',
      (h) => h.memory[0]!.remaining.push(PROGRAM),
    ],
    ['a wrong answer', 'complete-answer', (h) => (h.calls[0]!.isCorrect = false)],
    ['a call that never ended', 'complete-answer', (h) => (h.calls[1]!.outcome = 'pending')],
    [
      'duplicates with different answers',
      'complete-answer',
      (h) => (h.copiedCalls[0]!.answers = ['done', 'other']),
    ],
    [
      'a rejected request that was executed',
      'not-run',
      (h) => h.serviceExecutions.push({ key: 'p3/2/1', payload: 'early', wallClockMs: 9 }),
    ],
    [
      'a call reported as not run that reached an engine',
      'not-run',
      (h) => (h.exchanges[1] = { ...h.exchanges[1]!, kind: 'not_run' }),
    ],
    [
      'a rejected submission that was executed before the next one was sent',
      'not-run',
      (h) => {
        h.exchanges[1] = { ...h.exchanges[1]!, kind: 'not_run' };
        h.exchanges.push({ ...h.exchanges[1], submission: 2, startedAtMs: 260, kind: 'answer' });
      },
    ],
    [
      'a non-repeatable call executed twice',
      'at-most-once',
      (h) => h.serviceExecutions.push({ ...h.serviceExecutions[0]!, key: `${PROGRAM}/3/2` }),
    ],
    [
      'a new request to a drained engine',
      'leaving',
      (h) => h.arrivals.push({ ...arrival(1, 4_500), program: 'p9' }),
    ],
    [
      'a planned stop with a nonzero exit code',
      'planned-stop',
      (h) => (h.plannedStops[0]!.exitCode = 1),
    ],
    [
      'a planned stop that interrupted a request',
      'planned-stop',
      (h) => (h.exchanges[0]!.kind = 'broken'),
    ],
    ['an accepted revision that was lost', 'configuration', (h) => (h.finalRevisions = [])],
    [
      'different contents accepted for one base revision',
      'configuration',
      (h) => {
        h.confirms[1] = { ...h.confirms[1]!, outcome: 'accepted', revision: 3 };
        h.finalRevisions.push({ revision: 3, planId: 'plan-b', contentHash: 'hash-b' });
      },
    ],
    [
      'a retry with a different response',
      'configuration',
      (h) => h.confirms.push({ ...h.confirms[0]!, outcome: 'refused', revision: undefined }),
    ],
    [
      'a gateway that reverted to an earlier revision',
      'configuration',
      (h) => h.sightings.push({ gateway: 'gateway-1', revision: 1, atMs: 1_300 }),
    ],
    [
      'a revision that did not take effect',
      'configuration',
      (h) => (h.inForce[0]!.afterMs = undefined),
    ],
  ])('rejects %s', (_, promise, change) => {
    expect(violatedInvariants(change)).toContain(promise);
  });
});
