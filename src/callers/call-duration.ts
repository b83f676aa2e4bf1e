/** Maximum durations of calls, by which a gateway that stops decides whether a call still fits. */
import { monotonicMs } from '../common/index.js';
import type { GatewaySettings } from '../settings/index.js';
import type { CallContext, CallSpecification } from './call-context.js';

type CallKind = CallSpecification['request']['kind'];

/** Returns the maximum time until a call that waits for no backend is answered, in milliseconds. */
function maxDispatchedMs({ calls }: GatewaySettings, kind: CallKind): number {
  const answerMs = kind === 'model' ? calls.firstTokenTimeout : calls.serviceTimeout;
  return calls.journalTimeout + answerMs;
}

/** Returns the maximum time from a complete request to its answer, or to the first token of a stream, in milliseconds. */
export function maxCallMs(settings: GatewaySettings, kind: CallKind): number {
  return settings.queue.maxWait + maxDispatchedMs(settings, kind);
}

/** Whether a call that is complete now, but has not waited for a backend, can end before the process does. */
export function canTakeCall({ settings, shutdown }: CallContext, kind: CallKind): boolean {
  return shutdown.allows(monotonicMs() + maxCallMs(settings, kind));
}

/** Whether a call that has been assigned a backend can end before the process does. */
export function canDispatchCall(context: CallContext, kind: CallKind): boolean {
  return dispatchTimeLeftMs(context, kind) >= 0;
}

/** Returns the time until calls can't be sent any more because the process ends, in milliseconds; negative if it is over. */
export function dispatchTimeLeftMs({ settings, shutdown }: CallContext, kind: CallKind): number {
  return shutdown.callsDueAt - maxDispatchedMs(settings, kind) - monotonicMs();
}
