/** Checks of operations: leaving back ends, planned stops, engine memory, configuration. */
import { groupBy } from '../../../src/common/index.js';
import type { ObservedConfirm, TortureHistory } from '../history.js';
import { type InvariantCheck, ResultBuilder } from './invariant.js';

/** Time after acceptance from which a leaving back end gets no new work, in milliseconds. */
export const LEAVING_LIMIT_MS = 3_000;
/** Time until an accepted configuration is in force at all reachable gateways, in milliseconds. */
export const IN_FORCE_LIMIT_MS = 7_000;
const EXIT_OK = 0;

export const leavingCheck: InvariantCheck = {
  promise: 'leaving',
  check(history) {
    const result = new ResultBuilder('leaving');
    for (const { engine, acceptedAtMs, untilMs } of history.leavings) {
      const late = history.arrivals.filter(
        (arrival) =>
          arrival.engine === engine &&
          arrival.wallClockMs > acceptedAtMs + LEAVING_LIMIT_MS &&
          arrival.wallClockMs < untilMs,
      );
      if (untilMs <= acceptedAtMs + LEAVING_LIMIT_MS) continue;
      result.expect(late.length === 0, () => {
        const afterMs = Math.max(...late.map((arrival) => arrival.wallClockMs)) - acceptedAtMs;
        return `${engine}: new work ${Math.round(afterMs)} ms after it was told to leave`;
      });
    }
    return result.build();
  },
};

/** A planned stop ends with code 0 and cuts no request that was under way. */
export const plannedStopCheck: InvariantCheck = {
  promise: 'planned-stop',
  check(history) {
    const result = new ResultBuilder('planned-stop');
    for (const stop of history.plannedStops) {
      result.expect(stop.exitCode === EXIT_OK, () => `${stop.process}: exit ${stop.exitCode}`);
      const underWay = history.exchanges.filter(
        (exchange) =>
          exchange.gateway === stop.address &&
          exchange.startedAtMs < stop.signalledAtMs &&
          exchange.endedAtMs > stop.signalledAtMs,
      );
      for (const { kind, program, sequence } of underWay) {
        result.expect(
          kind !== 'broken',
          () => `${stop.process}: its stop cut ${program}#${sequence}`,
        );
      }
    }
    return result.build();
  },
};

export const engineMemoryCheck: InvariantCheck = {
  promise: 'engine-memory',
  check(history) {
    const result = new ResultBuilder('engine-memory');
    for (const { engine, endedPrograms, remaining } of history.memory) {
      if (endedPrograms === 0) continue;
      result.expect(
        remaining.length === 0,
        () => `${engine}: still holds memory for ended ${remaining.join(', ')}`,
      );
    }
    return result.build();
  },
};

/** Accepted revisions stay, one content wins, resends are answered alike, nothing reverts. */
export const configurationCheck: InvariantCheck = {
  promise: 'configuration',
  check(history) {
    const result = new ResultBuilder('configuration');
    checkConfirms(history, result);
    for (const [gateway, sightings] of groupBy(history.sightings, (seen) => seen.gateway)) {
      let highest = 0;
      for (const { revision } of sightings) {
        const before = highest;
        result.expect(
          revision >= before,
          () => `${gateway}: went back from revision ${before} to ${revision}`,
        );
        highest = Math.max(highest, revision);
      }
    }
    for (const { revision, afterMs } of history.inForce) {
      result.expect(
        afterMs !== undefined && afterMs <= IN_FORCE_LIMIT_MS,
        () => `revision ${revision}: in force after ${afterMs ?? 'no'} ms`,
      );
    }
    return result.build();
  },
};

function checkConfirms(history: TortureHistory, result: ResultBuilder): void {
  const accepted = history.confirms.filter((confirm) => confirm.outcome === 'accepted');
  const finals = new Map(history.finalRevisions.map((entry) => [entry.revision, entry]));
  for (const { revision, planId, contentHash, revisionContentHash } of accepted) {
    const final = finals.get(revision!);
    result.expect(
      final?.planId === planId && final.contentHash === contentHash,
      () => `revision ${revision}: accepted with plan ${planId}, the history says otherwise`,
    );
    result.expect(
      revisionContentHash === contentHash,
      () => `revision ${revision}: accepted with other content than was planned`,
    );
  }
  const baseOf = (confirm: ObservedConfirm): string => String(confirm.baseRevision);
  for (const [base, winners] of groupBy(accepted, baseOf)) {
    const contents = new Set(winners.map((confirm) => confirm.contentHash));
    result.expect(contents.size === 1, () => `two contents were accepted upon revision ${base}`);
  }
  for (const [requestId, sent] of groupBy(history.confirms, (confirm) => confirm.requestId)) {
    const answers = sent.filter((confirm) => confirm.outcome !== 'no-answer');
    const distinct = new Set(answers.map(({ outcome, revision }) => `${outcome}/${revision}`));
    result.expect(distinct.size <= 1, () => `${requestId}: a resend was answered differently`);
  }
}
