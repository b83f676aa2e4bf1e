/** Policies that the bench compares, as settings of the gateways. */
import type {
  HoldPolicyName,
  QueuePolicyName,
  RoutingPolicyName,
} from '../../src/settings/index.js';

export interface BenchPolicy {
  name: string;
  isBaseline: boolean;
  routing: RoutingPolicyName;
  queue: QueuePolicyName;
  retention: HoldPolicyName;
}

export const BENCH_POLICIES: readonly BenchPolicy[] = [
  {
    name: 'ledgegauge',
    isBaseline: false,
    routing: 'predicted-finish',
    queue: 'attained-service',
    retention: 'expected-saving',
  },
  {
    name: 'round-robin',
    isBaseline: true,
    routing: 'round-robin',
    queue: 'first-come',
    retention: 'never',
  },
  {
    name: 'least-outstanding',
    isBaseline: true,
    routing: 'least-outstanding',
    queue: 'first-come',
    retention: 'never',
  },
  {
    name: 'sticky',
    isBaseline: true,
    routing: 'sticky',
    queue: 'first-come',
    retention: 'never',
  },
  {
    name: 'sticky-hold-always',
    isBaseline: true,
    routing: 'sticky',
    queue: 'first-come',
    retention: 'always',
  },
];

/** Weights of a deployment in the scores of routing and retention. */
export interface BenchWeights {
  latencyWeight: number;
  prefixWeight: number;
}

/** Settings that override those of a gateway. */
export function createGatewaySettings(
  policy: BenchPolicy,
  weights: BenchWeights,
): Record<string, unknown> {
  const { latencyWeight, prefixWeight } = weights;
  return {
    routing: { policy: policy.routing, prefixWeight },
    queue: { policy: policy.queue },
    retention: { policy: policy.retention, latencyWeight },
  };
}
