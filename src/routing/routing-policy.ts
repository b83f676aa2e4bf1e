/** Which back end a call goes to. Each policy is a named choice in the settings. */
import type { Backend } from '../backends/index.js';
import type { RoutingPolicyName } from '../settings/index.js';

/** What a policy may know of a call. */
export interface RoutingRequest {
  program: string;
  /** Prompt tokens of the call. */
  promptTokens: number;
  /** Of those, tokens that the previous back end computed for this program. */
  knownPrefixTokens: number;
  previousBackend: string | undefined;
  /** Tokens of a shared beginning that an engine likely has. @default none anywhere */
  sharedTokensAt?: (backend: Backend) => number;
}

export interface RoutingPolicy {
  /** Chooses among back ends that may take the call now; there is at least one. */
  choose(candidates: readonly Backend[], request: RoutingRequest): Backend;
}

/** One after the other. */
class RoundRobin implements RoutingPolicy {
  private next = 0;

  choose(candidates: readonly Backend[]): Backend {
    return candidates[this.next++ % candidates.length]!;
  }
}

/** The one with the fewest calls from this gateway. */
class LeastOutstanding implements RoutingPolicy {
  choose(candidates: readonly Backend[]): Backend {
    return lowest(candidates, (backend) => backend.limit.inFlight);
  }
}

/** Where the program was before; else the one with the fewest calls. */
class StickyByProgram implements RoutingPolicy {
  private readonly fallback = new LeastOutstanding();

  choose(candidates: readonly Backend[], request: RoutingRequest): Backend {
    const previous = candidates.find((backend) => backend.id === request.previousBackend);
    return previous ?? this.fallback.choose(candidates);
  }
}

/** Weight of a running sequence against prompt tokens to compute, in tokens. Assumed. */
const TOKENS_PER_RUNNING_CALL = 96;
/** Weight of a sequence that waits for a place in the batch, in tokens. Assumed. */
const TOKENS_PER_WAITING_CALL = 200;

/** The one where the answer is predicted to come first: queue plus missing prefix. */
class PredictedFinish implements RoutingPolicy {
  constructor(private readonly prefixWeight: number) {}

  choose(candidates: readonly Backend[], request: RoutingRequest): Backend {
    return lowest(candidates, (backend) => predictedWork(backend, request, this.prefixWeight));
  }
}

/** Work before the answer can come, in prompt tokens. */
export function predictedWork(
  backend: Backend,
  request: RoutingRequest,
  prefixWeight: number,
): number {
  const missingTokens = request.promptTokens - cachedTokensAt(backend, request);
  const queued =
    backend.estimatedPrefillTokens +
    TOKENS_PER_RUNNING_CALL * backend.estimatedCalls +
    TOKENS_PER_WAITING_CALL * backend.load.waiting;
  return queued + prefixWeight * missingTokens;
}

/** Prompt tokens that a back end likely need not compute again. */
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

/** @param prefixWeight what a prompt token computed again weighs against one of queueing */
export function createRoutingPolicy(name: RoutingPolicyName, prefixWeight = 1): RoutingPolicy {
  switch (name) {
    case 'round-robin':
      return new RoundRobin();
    case 'least-outstanding':
      return new LeastOutstanding();
    case 'sticky':
      return new StickyByProgram();
    case 'predicted-finish':
      return new PredictedFinish(prefixWeight);
  }
}
