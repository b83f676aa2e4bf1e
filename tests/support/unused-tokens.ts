/** Reads a counter of forwarded calls. */
import type { ForwardingMetrics } from '../../src/forwarding/forwarding-metrics.js';

/** Tokens of tenants' limits whose calls have not run. */
export async function unusedTokens({ registry }: ForwardingMetrics): Promise<number> {
  const counter = registry.getSingleMetric('ledgegauge_unused_quota_tokens_total')!;
  const { values } = await counter.get();
  return values.reduce((total, { value }) => total + value, 0);
}
