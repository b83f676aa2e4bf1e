/** Invariants of operations: drained backends, planned stops, engine memory, configuration. */
import { groupBy } from '../../../src/common/index.js';
import type { ObservedConfirm, TortureHistory } from '../history.js';
import { type InvariantCheck, ResultBuilder } from './invariant.js';

/** Time after acceptance from which a drained backend gets no new requests, in milliseconds. */
export const LEAVING_LIMIT_MS = 3_000;
/** Time until an accepted revision is in effect at all reachable gateways, in milliseconds. */
export const IN_FORCE_LIMIT_MS = 7_000;
const EXIT_OK = 0;

export const leavingCheck: InvariantCheck = {
  promise: 'leaving',
  check(history) {
    const result = new ResultBuilder('leaving');
    for (const { engine, acceptedAtMs, untilMs } of history.leavings) {
      const lateArrivals = history.arrivals.filter(
        (arrival) =>
          arrival.engine === engine &&
          arrival.wallClockMs > acceptedAtMs + LEAVING_LIMIT_MS &&
          arrival.wallClockMs < untilMs,
      );
      if (untilMs <= acceptedAtMs + LEAVING_LIMIT_MS) continue;
      result.expect(lateArrivals.length === 0, () => {
        const afterMs =
          Math.max(...lateArrivals.map((arrival) => arrival.wallClockMs)) - acceptedAtMs;
        return `${engine}: new request ${Math.round(afterMs)} ms after the drain was accepted`;
      });
    }
    return result.build();
  },
};

/** A planned stop ends with exit code 0 and interrupts no request in flight. */
export const plannedStopCheck: InvariantCheck = {
  promise: 'planned-stop',
  check(history) {
    const result = new ResultBuilder('planned-stop');
    for (const stop of history.plannedStops) {
      result.expect(stop.exitCode === EXIT_OK, () => `${stop.process}: exit code ${stop.exitCode}`);
      const inFlight = history.exchanges.filter(
        (exchange) =>
          exchange.gateway === stop.address &&
          exchange.startedAtMs < stop.signalledAtMs &&
          exchange.endedAtMs > stop.signalledAtMs,
      );
      for (const { kind, program, sequence } of inFlight) {
        result.expect(
          kind !== 'broken',
          () => `${stop.process}: planned stop interrupted ${program}#${sequence}`,
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
        () => `${engine}: holds memory for ended programs ${remaining.join(', ')}`,
      );
    }
    return result.build();
  },
};

/** Accepted revisions are kept and unique, retries get equal responses, gateways do not revert. */
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
          () => `${gateway}: reverted from revision ${before} to ${revision}`,
        );
        highest = Math.max(highest, revision);
      }
    }
    for (const { revision, afterMs } of history.inForce) {
      result.expect(
        afterMs !== undefined && afterMs <= IN_FORCE_LIMIT_MS,
        () => `revision ${revision}: in effect after ${afterMs ?? 'no'} ms`,
      );
    }
    return result.build();
  },
};

function checkConfirms(history: TortureHistory, result: ResultBuilder): void {
  const accepted = history.confirms.filter((confirm) => confirm.outcome === 'accepted');
  const finalByRevision = new Map(history.finalRevisions.map((entry) => [entry.revision, entry]));
  for (const { revision, planId, contentHash, revisionContentHash } of accepted) {
    const final = finalByRevision.get(revision!);
    result.expect(
      final?.planId === planId && final.contentHash === contentHash,
      () => `revision ${revision}: accepted with plan ${planId}, but the history differs`,
    );
    result.expect(
      revisionContentHash === contentHash,
      () => `revision ${revision}: accepted content differs from the plan`,
    );
  }
  const baseOf = (confirm: ObservedConfirm): string => String(confirm.baseRevision);
  for (const [base, acceptedConfirms] of groupBy(accepted, baseOf)) {
    const contents = new Set(acceptedConfirms.map((confirm) => confirm.contentHash));
    result.expect(
      contents.size === 1,
      () => `different contents were accepted for base revision ${base}`,
    );
  }
  for (const [requestId, attempts] of groupBy(history.confirms, (confirm) => confirm.requestId)) {
    const answers = attempts.filter((confirm) => confirm.outcome !== 'no-answer');
    const distinct = new Set(answers.map(({ outcome, revision }) => `${outcome}/${revision}`));
    result.expect(distinct.size <= 1, () => `${requestId}: a retry received a different response`);
  }
}
