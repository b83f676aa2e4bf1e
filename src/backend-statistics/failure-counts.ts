/** Decayed counts of calls and failures at one backend, summed over gateways. */

/** Maximum calls of one gateway that are counted. */
const MAX_GATEWAY_CALLS = 3;
/** Failures of a gateway below which it does not count as one that has seen a failure. */
const MIN_GATEWAY_FAILURES = 0.2;

export interface FailureCounts {
  calls: number;
  failures: number;
  /** Number of gateways that have seen failures. */
  failedGateways: number;
  /** Counts of the gateway with the most failures. */
  worstCalls: number;
  worstFailures: number;
}

export function emptyCounts(): FailureCounts {
  return { calls: 0, failures: 0, failedGateways: 0, worstCalls: 0, worstFailures: 0 };
}

/** Adds the counts of one gateway, limited to the maximum of calls. */
export function addGateway(counts: FailureCounts, calls: number, failures: number): void {
  const scale = calls > MAX_GATEWAY_CALLS ? MAX_GATEWAY_CALLS / calls : 1;
  counts.calls += calls * scale;
  counts.failures += failures * scale;
  if (failures * scale >= MIN_GATEWAY_FAILURES) counts.failedGateways += 1;
  noteWorst(counts, calls * scale, failures * scale);
}

export function sumOfCounts(parts: Iterable<FailureCounts>): FailureCounts {
  const sum = emptyCounts();
  for (const { calls, failures, failedGateways, worstCalls, worstFailures } of parts) {
    sum.calls += calls;
    sum.failures += failures;
    sum.failedGateways += failedGateways;
    noteWorst(sum, worstCalls, worstFailures);
  }
  return sum;
}

function noteWorst(counts: FailureCounts, calls: number, failures: number): void {
  if (failures <= counts.worstFailures) return;
  counts.worstCalls = calls;
  counts.worstFailures = failures;
}
