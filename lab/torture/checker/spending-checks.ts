/** Invariants of executions: budgets, calls reported as not run, non-repeatable calls. */
import { groupBy } from '../../../src/common/index.js';
import type { TortureHistory } from '../history.js';
import { observedWork, callKey } from './call-checks.js';
import { type InvariantCheck, ResultBuilder } from './invariant.js';

const SERVICE_CALL_COST = 1;

/** Cost of each program by the records of the backends, without its descendants. */
function measuredCosts(history: TortureHistory): Map<string, number> {
  const costs = new Map<string, number>();
  const add = (program: string, cost: number): void => {
    costs.set(program, (costs.get(program) ?? 0) + cost);
  };
  for (const execution of history.executions) {
    add(execution.program, execution.promptTokens + execution.outputTokens);
  }
  for (const { key } of history.serviceExecutions) add(key.split('/')[0]!, SERVICE_CALL_COST);
  return costs;
}

/** By the records of the backends, no program exceeds its budget, including its descendants. */
export const budgetCheck: InvariantCheck = {
  promise: 'budget',
  check(history) {
    const result = new ResultBuilder('budget');
    const costs = measuredCosts(history);
    const subtreeCost = (program: string): number =>
      [...costs]
        .filter(([id]) => id === program || id.startsWith(`${program}.`))
        .reduce((sum, [, cost]) => sum + cost, 0);
    for (const { id, budget } of history.programs) {
      if (id === '') continue;
      const spent = subtreeCost(id);
      if (spent === 0) continue;
      result.expect(spent <= budget, () => `${id}: spent ${spent} tokens of a budget of ${budget}`);
    }
    for (const { program, budget, spent } of history.spending) {
      result.expect(
        spent <= budget,
        () => `${program}: reports ${spent} of a budget of ${budget} spent`,
      );
      const ran = subtreeCost(program);
      result.expect(ran <= spent, () => `${program}: spent ${ran} tokens, but reports ${spent}`);
    }
    return result.build();
  },
};

/** A request that was reported as not run is never executed. */
export const notRunCheck: InvariantCheck = {
  promise: 'not-run',
  check(history) {
    const result = new ResultBuilder('not-run');
    const payloads = new Set(history.serviceExecutions.map((execution) => execution.payload));
    for (const { payload, code } of history.refusedPayloads) {
      result.expect(
        !payloads.has(payload),
        () => `${payload}: rejected with ${code}, but executed`,
      );
    }
    const work = groupBy(observedWork(history), callKey);
    for (const [call, exchanges] of groupBy(history.exchanges, callKey)) {
      const refused = exchanges.filter((exchange) => exchange.kind === 'not_run');
      if (refused.length === 0) continue;
      const refusedNumbers = new Set(refused.map((exchange) => exchange.submission));
      const others = exchanges.filter((exchange) => !refusedNumbers.has(exchange.submission));
      const mayRunFrom = Math.min(...others.map((exchange) => exchange.startedAtMs));
      const earlyWork = (work.get(call) ?? []).filter(({ atMs }) => atMs < mayRunFrom);
      result.expect(
        earlyWork.length === 0,
        () => `${call}: reported as not run, but a backend executed it`,
      );
    }
    return result.build();
  },
};

/** By the records of the services, non-repeatable requests are executed at most once. */
export const atMostOnceCheck: InvariantCheck = {
  promise: 'at-most-once',
  check(history) {
    const result = new ResultBuilder('at-most-once');
    const executions = groupBy(history.serviceExecutions, (execution) => execution.payload);
    const nonRepeatable = [
      ...history.calls.filter((call) => call.kind === 'service' && !call.isRepeatable),
      ...history.copiedCalls.filter((call) => !call.isRepeatable),
    ];
    for (const { payload } of nonRepeatable) {
      const count = executions.get(payload ?? '')?.length ?? 0;
      result.expect(count <= 1, () => `${payload}: executed ${count} times`);
    }
    return result.build();
  },
};
