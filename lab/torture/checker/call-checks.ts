/** Invariants of single calls: order, complete answers, history, isolation. */
import { groupBy } from '../../../src/common/index.js';
import type { EngineArrival, ServiceExecution, TortureHistory } from '../history.js';
import { type InvariantCheck, ResultBuilder } from './invariant.js';

/** Execution of a call that a backend recorded. */
interface ObservedWork {
  program: string;
  sequence: number;
  atMs: number;
}

function workOfArrival({ program, sequence, wallClockMs }: EngineArrival): ObservedWork {
  return { program, sequence, atMs: wallClockMs };
}

function workOfService({ key, wallClockMs }: ServiceExecution): ObservedWork {
  const [program, sequence] = key.split('/');
  return { program: program!, sequence: Number(sequence), atMs: wallClockMs };
}

export function observedWork(history: TortureHistory): ObservedWork[] {
  return [...history.arrivals.map(workOfArrival), ...history.serviceExecutions.map(workOfService)];
}

/** Identifies a call within a history. */
export function callKey({ program, sequence }: Pick<ObservedWork, 'program' | 'sequence'>): string {
  return `${program}#${sequence}`;
}

/** Returns when each call was first finished by a backend. */
function firstFinishTimes(history: TortureHistory): Map<string, number> {
  const times = new Map<string, number>();
  const recordEarliest = (call: string, atMs: number): void => {
    times.set(call, Math.min(times.get(call) ?? Number.POSITIVE_INFINITY, atMs));
  };
  for (const { program, sequence, outcome, wallClockMs } of history.executions) {
    if (outcome === 'finished') recordEarliest(callKey({ program, sequence }), wallClockMs);
  }
  for (const work of history.serviceExecutions.map(workOfService)) {
    recordEarliest(callKey(work), work.atMs);
  }
  return times;
}

/** A call reaches a backend only after the previous call of its program was answered. */
export const orderCheck: InvariantCheck = {
  promise: 'order',
  check(history) {
    const result = new ResultBuilder('order');
    for (const [program, works] of groupBy(observedWork(history), (work) => work.program)) {
      const firstSeenAt = new Map<number, number>();
      for (const { sequence, atMs } of works) {
        firstSeenAt.set(
          sequence,
          Math.min(firstSeenAt.get(sequence) ?? Number.POSITIVE_INFINITY, atMs),
        );
      }
      const sequences = [...firstSeenAt.keys()].sort((left, right) => left - right);
      for (const [index, sequence] of sequences.slice(1).entries()) {
        const before = sequences[index]!;
        result.expect(
          firstSeenAt.get(sequence)! >= firstSeenAt.get(before)!,
          () => `${program}: call ${sequence} started before call ${before}`,
        );
      }
    }
    const finished = firstFinishTimes(history);
    for (const { program, sequence, atMs } of observedWork(history)) {
      const before = finished.get(callKey({ program, sequence: sequence - 1 }));
      if (before === undefined) continue;
      result.expect(
        atMs >= before,
        () => `${program}: call ${sequence} ran before call ${sequence - 1} had finished`,
      );
    }
    return result.build();
  },
};

/** Every call ends with a correct answer or a definite outcome. */
export const completeAnswerCheck: InvariantCheck = {
  promise: 'complete-answer',
  check(history) {
    const result = new ResultBuilder('complete-answer');
    for (const call of history.calls) {
      const name = callKey(call);
      result.expect(call.outcome !== 'pending', () => `${name}: received no final answer`);
      if (call.outcome !== 'completed') continue;
      result.expect(call.isCorrect, () => `${name}: the answer does not match the request`);
    }
    for (const { program, sequence, answers } of history.copiedCalls) {
      result.expect(
        new Set(answers).size <= 1,
        () =>
          `${program}#${sequence}: duplicates received different answers: ${answers.join(' / ')}`,
      );
    }
    return result.build();
  },
};

/** A recorded answer does not change. */
export const historyCheck: InvariantCheck = {
  promise: 'history',
  check(history) {
    const result = new ResultBuilder('history');
    for (const { program, sequence, firstAnswer, laterAnswer } of history.repeatedReads) {
      result.expect(
        firstAnswer === laterAnswer,
        () => `${program}#${sequence}: the recorded answer changed or was lost`,
      );
    }
    return result.build();
  },
};

/** Tenants cannot detect programs of others, and programs reach engines as their own tenant. */
export const isolationCheck: InvariantCheck = {
  promise: 'isolation',
  check(history) {
    const result = new ResultBuilder('isolation');
    for (const { program, answer, answerForNoProgram } of history.foreignReads) {
      result.expect(
        answer === answerForNoProgram,
        () => `${program}: another tenant received ${answer}, expected ${answerForNoProgram}`,
      );
    }
    const owners = new Map(history.programs.map((program) => [program.id, program.tenant]));
    for (const { program, tenant } of history.arrivals) {
      const owner = owners.get(program);
      if (owner === undefined) continue;
      result.expect(
        owner === tenant,
        () => `${program} of tenant ${owner} reached an engine as tenant ${tenant}`,
      );
    }
    return result.build();
  },
};
