/** Selects the backend of a call. Policies are selected by name in the settings. */
import type { Backend } from '../backends/index.js';
import type { RoutingPolicyName } from '../settings/index.js';

/** Properties of a call that routing policies use. */
export interface RoutingRequest {
  program: string;
  promptTokens: number;
  /** Prompt tokens that the previous backend has already computed for this program. */
  knownPrefixTokens: number;
  previousBackend: string | undefined;
  /** Tokens of a shared prefix that a backend probably has cached. @default none */
  sharedTokensAt?: (backend: Backend) => number;
}

export interface RoutingPolicy {
  /** @param candidates available backends, at least one */
  choose(candidates: readonly Backend[], request: RoutingRequest): Backend;
}

class RoundRobinRouting implements RoutingPolicy {
  private next = 0;

  choose(candidates: readonly Backend[]): Backend {
    return candidates[this.next++ % candidates.length]!;
  }
}

/** The backend with the fewest calls in flight from this gateway. */
class LeastOutstandingRouting implements RoutingPolicy {
  choose(candidates: readonly Backend[]): Backend {
    return lowest(candidates, (backend) => backend.limit.inFlight);
  }
}

/** The program's previous backend; otherwise the one with the fewest calls in flight. */
class StickyRouting implements RoutingPolicy {
  private readonly fallback = new LeastOutstandingRouting();

  choose(candidates: readonly Backend[], request: RoutingRequest): Backend {
    const previous = candidates.find((backend) => backend.id === request.previousBackend);
    return previous ?? this.fallback.choose(candidates);
  }
}

/** Cost of a running sequence, in equivalent prompt tokens. */
const TOKENS_PER_RUNNING_CALL = 96;
/** Cost of a sequence queued for the batch, in equivalent prompt tokens. */
const TOKENS_PER_QUEUED_CALL = 200;

/** The backend with the earliest predicted response: queued work plus uncached prompt tokens. */
class PredictedFinishRouting implements RoutingPolicy {
  constructor(private readonly prefixWeight: number) {}

  choose(candidates: readonly Backend[], request: RoutingRequest): Backend {
    return lowest(candidates, (backend) => predictedWork(backend, request, this.prefixWeight));
  }
}

/** Work to be done before the response can start, in equivalent prompt tokens. */
export function predictedWork(
  backend: Backend,
  request: RoutingRequest,
  prefixWeight: number,
): number {
  const uncachedTokens = request.promptTokens - cachedTokensAt(backend, request);
  const queuedTokens =
    backend.estimatedPrefillTokens +
    TOKENS_PER_RUNNING_CALL * backend.estimatedCalls +
    TOKENS_PER_QUEUED_CALL * backend.load.waiting;
  return queuedTokens + prefixWeight * uncachedTokens;
}

/** Prompt tokens that a backend probably has cached. */
export function cachedTokensAt(backend: Backend, request: RoutingRequest): number {
  if (backend.id === request.previousBackend) return request.knownPrefixTokens;
  return request.sharedTokensAt?.(backend) ?? 0;
}

function lowest(candidates: readonly Backend[], scoreOf: (backend: Backend) => number): Backend {
  let best = candidates[0]!;
  let bestScore = scoreOf(best);
  for (const candidate of candidates.slice(1)) {
    const score = scoreOf(candidate);
    if (score < bestScore) {
      best = candidate;
      bestScore = score;
    }
  }
  return best;
}

/** @param prefixWeight cost of an uncached prompt token relative to a queued one */
export function createRoutingPolicy(name: RoutingPolicyName, prefixWeight = 1): RoutingPolicy {
  switch (name) {
    case 'round-robin':
      return new RoundRobinRouting();
    case 'least-outstanding':
      return new LeastOutstandingRouting();
    case 'sticky':
      return new StickyRouting();
    case 'predicted-finish':
      return new PredictedFinishRouting(prefixWeight);
  }
}
