/** Checks of single calls: order, complete answers, history, isolation. */
import { groupBy } from '../../../src/common/index.js';
import type { EngineArrival, ServiceExecution, TortureHistory } from '../history.js';
import { type InvariantCheck, ResultBuilder } from './invariant.js';

/** Work of one call seen at a back end. */
interface SeenWork {
  program: string;
  sequence: number;
  atMs: number;
}

function workOfArrival({ program, sequence, wallClockMs }: EngineArrival): SeenWork {
  return { program, sequence, atMs: wallClockMs };
}

function workOfService({ key, wallClockMs }: ServiceExecution): SeenWork {
  const [program, sequence] = key.split('/');
  return { program: program!, sequence: Number(sequence), atMs: wallClockMs };
}

export function observedWork(history: TortureHistory): SeenWork[] {
  return [...history.arrivals.map(workOfArrival), ...history.serviceExecutions.map(workOfService)];
}

/** Names a call among all of a history. */
export function callKey({ program, sequence }: Pick<SeenWork, 'program' | 'sequence'>): string {
  return `${program}#${sequence}`;
}

/** When each call was first finished at a back end. */
function finishTimes(history: TortureHistory): Map<string, number> {
  const times = new Map<string, number>();
  const note = (call: string, atMs: number): void => {
    times.set(call, Math.min(times.get(call) ?? Number.POSITIVE_INFINITY, atMs));
  };
  for (const { program, sequence, outcome, wallClockMs } of history.executions) {
    if (outcome === 'finished') note(callKey({ program, sequence }), wallClockMs);
  }
  for (const work of history.serviceExecutions.map(workOfService)) {
    note(callKey(work), work.atMs);
  }
  return times;
}

/** A call first reaches a back end only after the call before it had its answer. */
export const orderCheck: InvariantCheck = {
  promise: 'order',
  check(history) {
    const result = new ResultBuilder('order');
    for (const [program, works] of groupBy(observedWork(history), (work) => work.program)) {
      const first = new Map<number, number>();
      for (const { sequence, atMs } of works) {
        first.set(sequence, Math.min(first.get(sequence) ?? Number.POSITIVE_INFINITY, atMs));
      }
      const sequences = [...first.keys()].sort((left, right) => left - right);
      for (const [index, sequence] of sequences.slice(1).entries()) {
        const before = sequences[index]!;
        result.expect(
          first.get(sequence)! >= first.get(before)!,
          () => `${program}: call ${sequence} began before call ${before}`,
        );
      }
    }
    const finished = finishTimes(history);
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

/** Every call that was issued ended with an answer that is right, or with a clear outcome. */
export const completeAnswerCheck: InvariantCheck = {
  promise: 'complete-answer',
  check(history) {
    const result = new ResultBuilder('complete-answer');
    for (const call of history.calls) {
      const name = callKey(call);
      result.expect(call.outcome !== 'pending', () => `${name}: never had a final answer`);
      if (call.outcome !== 'completed') continue;
      result.expect(call.isCorrect, () => `${name}: the answer is not the one to its request`);
    }
    for (const { program, sequence, answers } of history.copiedCalls) {
      result.expect(
        new Set(answers).size <= 1,
        () => `${program}#${sequence}: copies were answered differently: ${answers.join(' / ')}`,
      );
    }
    return result.build();
  },
};

/** What was answered once is answered the same ever after. */
export const historyCheck: InvariantCheck = {
  promise: 'history',
  check(history) {
    const result = new ResultBuilder('history');
    for (const { program, sequence, firstAnswer, laterAnswer } of history.repeatedReads) {
      result.expect(
        firstAnswer === laterAnswer,
        () => `${program}#${sequence}: the recorded answer changed or is gone`,
      );
    }
    return result.build();
  },
};

/** Another tenant learns nothing, not even whether a program exists; engines keep tenants apart. */
export const isolationCheck: InvariantCheck = {
  promise: 'isolation',
  check(history) {
    const result = new ResultBuilder('isolation');
    for (const { program, answer, answerForNoProgram } of history.foreignReads) {
      result.expect(
        answer === answerForNoProgram,
        () => `${program}: another tenant was answered ${answer}, not ${answerForNoProgram}`,
      );
    }
    const owners = new Map(history.programs.map((program) => [program.id, program.tenant]));
    for (const { program, tenant } of history.arrivals) {
      const owner = owners.get(program);
      if (owner === undefined) continue;
      result.expect(
        owner === tenant,
        () => `${program} of ${owner} reached an engine as a program of ${tenant}`,
      );
    }
    return result.build();
  },
};
