/** Checks of what ran: budgets, calls told as not run, calls that may run once. */
import { groupBy } from '../../../src/common/index.js';
import type { TortureHistory } from '../history.js';
import { observedWork, callKey } from './call-checks.js';
import { type InvariantCheck, ResultBuilder } from './invariant.js';

const SERVICE_CALL_COST = 1;

/** What the back ends' own records say that a program cost, without anything below it. */
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

/** By the engines' own count, no program and nothing below it spent more than its budget. */
export const budgetCheck: InvariantCheck = {
  promise: 'budget',
  check(history) {
    const result = new ResultBuilder('budget');
    const costs = measuredCosts(history);
    const below = (program: string): number =>
      [...costs]
        .filter(([id]) => id === program || id.startsWith(`${program}.`))
        .reduce((sum, [, cost]) => sum + cost, 0);
    for (const { id, budget } of history.programs) {
      if (id === '') continue;
      const spent = below(id);
      if (spent === 0) continue;
      result.expect(spent <= budget, () => `${id}: ${spent} tokens ran on a budget of ${budget}`);
    }
    for (const { program, budget, spent } of history.spending) {
      result.expect(spent <= budget, () => `${program}: says ${spent} of ${budget} spent`);
      const ran = below(program);
      result.expect(ran <= spent, () => `${program}: ${ran} tokens ran, only ${spent} are counted`);
    }
    return result.build();
  },
};

/** What a caller was told has not run did not run, and never does. */
export const notRunCheck: InvariantCheck = {
  promise: 'not-run',
  check(history) {
    const result = new ResultBuilder('not-run');
    const payloads = new Set(history.serviceExecutions.map((execution) => execution.payload));
    for (const { payload, code } of history.refusedPayloads) {
      result.expect(!payloads.has(payload), () => `${payload}: refused as ${code}, but it ran`);
    }
    const work = groupBy(observedWork(history), callKey);
    for (const [call, exchanges] of groupBy(history.exchanges, callKey)) {
      const refused = exchanges.filter((exchange) => exchange.kind === 'not_run');
      if (refused.length === 0) continue;
      const refusedNumbers = new Set(refused.map((exchange) => exchange.submission));
      const others = exchanges.filter((exchange) => !refusedNumbers.has(exchange.submission));
      const mayRunFrom = Math.min(...others.map((exchange) => exchange.startedAtMs));
      const early = (work.get(call) ?? []).filter(({ atMs }) => atMs < mayRunFrom);
      result.expect(early.length === 0, () => `${call}: told as not run, but a back end ran it`);
    }
    return result.build();
  },
};

/** Requests that may not be repeated are executed once at most, by the services' own records. */
export const atMostOnceCheck: InvariantCheck = {
  promise: 'at-most-once',
  check(history) {
    const result = new ResultBuilder('at-most-once');
    const executions = groupBy(history.serviceExecutions, (execution) => execution.payload);
    const once = [
      ...history.calls.filter((call) => call.kind === 'service' && !call.isRepeatable),
      ...history.copiedCalls.filter((call) => !call.isRepeatable),
    ];
    for (const { payload } of once) {
      const count = executions.get(payload ?? '')?.length ?? 0;
      result.expect(count <= 1, () => `${payload}: ran ${count} times`);
    }
    return result.build();
  },
};
