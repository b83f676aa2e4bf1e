/** Selects how the response of a call is received: as a stream of events, or as a whole. */
import type { CompiledRoute, ResponseLimits } from '../routes/index.js';
import { BufferedResponse } from './buffered-answer.js';
import type { CallExchange } from './call-exchange.js';
import { StreamRelay } from './stream-relay.js';

export type CallResponse = StreamRelay | BufferedResponse;

export interface CallResponseOptions {
  exchange: CallExchange;
  route: CompiledRoute;
  responseLimits: ResponseLimits;
  /** Whether the output of a stream is collected. @default if the route retains turns */
  isKept?: boolean;
  /** Called before the first event of a stream is relayed. */
  onBegun: () => void;
}

export function createCallResponse(options: CallResponseOptions): CallResponse {
  const { exchange, route, responseLimits, onBegun } = options;
  const { kind, retainsTurns, isResumable } = route.route;
  if (kind !== 'streaming') return new BufferedResponse(exchange);
  const { isKept = retainsTurns } = options;
  const { maxEventBytes, maxTurnBytes } = responseLimits;
  return new StreamRelay({ exchange, isKept, isResumable, maxEventBytes, maxTurnBytes, onBegun });
}
