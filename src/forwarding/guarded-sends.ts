/** Has the sends of one call counted and admitted by the guard of its request. */
import { monotonicMs } from '../common/index.js';
import type { AnsweringBackend, RequestGuard } from '../crash-guard/index.js';
import type { BackendState } from './backend-view.js';
import type { RefusalReason } from './call-exchange.js';
import type { PlacementDecision } from './placement.js';
import type { SendResult } from './send-attempt.js';

export type SendClearance =
  { kind: 'cleared'; decision: PlacementDecision } | { kind: 'refused'; reason: RefusalReason };

/** How a send ended. */
export interface EndedSend {
  backend: BackendState;
  result: SendResult;
  /** Whether the response ends within an event. */
  isTruncated: boolean;
  /** Monotonic, in milliseconds. */
  sentAt: number;
}

/**
 * Time without data of a back end after which a send that was stopped may have ended it, in milliseconds: back ends that are
 * alive send data of other calls.
 */
const SILENT_MS = 700;

export class GuardedSends {
  /**
   * @param guard undefined if ends are not counted
   * @param deadlineMs of the call (monotonic, milliseconds)
   */
  constructor(
    private readonly guard: RequestGuard | undefined,
    private readonly deadlineMs: number,
  ) {}

  /**
   * Asks for a permit if a back end may have ended under the request.
   * @param selected where the call is to be sent
   * @param findAlternatives other back ends, in order of preference
   */
  async clear(
    selected: PlacementDecision,
    findAlternatives: () => PlacementDecision[],
  ): Promise<SendClearance> {
    if (!this.guard?.isSuspect) return { kind: 'cleared', decision: selected };
    const decisions = [selected, ...findAlternatives()];
    const candidates = decisions.map(({ backend }) => backend.id);
    const leftMs = Math.max(1, this.deadlineMs - monotonicMs());
    const admission = await this.guard.requestSend(candidates, leftMs);
    if (admission.kind === 'blocked') return { kind: 'refused', reason: 'ends-backends' };
    if (admission.kind === 'pending') return { kind: 'refused', reason: 'send-pending' };
    const granted = decisions.find(({ backend }) => backend.id === admission.backend);
    return { kind: 'cleared', decision: granted ?? selected };
  }

  /** Must be called when a cleared send does not take place. */
  cancel(): void {
    this.guard?.noteStopped();
  }

  /** Must be called when a send has ended. Resolves once a lost response is counted, or after a time limit. */
  async noteEnd(send: EndedSend): Promise<void> {
    if (!this.guard) return;
    const { backend, result, sentAt } = send;
    if (mayHaveEnded(send)) await this.guard.noteLost(backend.id, monotonicMs() - sentAt);
    else if (result.kind === 'complete') this.guard.noteAnswered(answeringBackend(backend), sentAt);
    else this.guard.noteStopped();
  }

  /** Must be called before the caller is told of a failure. Resolves once it may send the request to another gateway. */
  async settle(): Promise<void> {
    await this.guard?.settle();
  }
}

/** A call names its back end, and not the start, if the back end keeps its name. */
function answeringBackend({ id, record }: BackendState): AnsweringBackend {
  return { id, hasOwnId: record.startedAt === undefined };
}

/** Whether the back end may have ended during the send. */
function mayHaveEnded({ backend, result, isTruncated, sentAt }: EndedSend): boolean {
  const isSilent = monotonicMs() - sentAt > SILENT_MS && !backend.hasSentDataSince(sentAt);
  switch (result.kind) {
    case 'complete':
      return isTruncated;
    case 'broken':
      if (result.reason === 'connection-lost') return true;
      return result.reason === 'no-answer-in-time' && isSilent;
    case 'stopped':
      return result.wasSent && isSilent;
    default:
      return false;
  }
}
