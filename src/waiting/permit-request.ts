/** One call's request for a permit, from its arrival until the call has ended. */
import { Deferred } from '../common/index.js';
import type { MemoryHolder } from '../memory-budget/index.js';
import type { WaitingCall } from './waiting-call.js';

/** Why a call got no permit: it would not be served in time. */
export interface PermitRefusal {
  /** Time until a permit is expected, in milliseconds. */
  retryAfterMs: number;
}

/** A call's request as its sender sees it. */
export interface PermitRequest {
  /** Resolves with a refusal, or with undefined once the call may be sent or its request was ended. */
  readonly decision: Promise<PermitRefusal | undefined>;
  /** Time in the queue, in milliseconds; undefined if it did not wait. */
  readonly waitedMs: number | undefined;
  /** Number of calls ahead on arrival; undefined if it did not wait. */
  readonly waitedBehind: number | undefined;
  /**
   * Leaves the queue or returns the permit. Must be called when the call has ended or its caller has left; repeated
   * calls have no effect.
   * @param wasSent whether the call was sent to a backend
   * @param isTypical whether its duration shows how long a backend needs for a call. @default false
   */
  end(wasSent: boolean, isTypical?: boolean): void;
}

/** What a call tells when it requests a permit. */
export interface PermitCall {
  service: string;
  /** 0 is the most urgent. */
  priority: number;
  tenant: string | undefined;
  /** Whether the call belongs to a program that has already had a turn. */
  hasBegun: boolean;
  /** Deadline of the final response (monotonic, milliseconds). */
  deadlineMs: number;
  /** Time left until the deadline of the program, in milliseconds; 0 if it has passed. */
  programRemainingMs: number | undefined;
  /** Size of the request body, in bytes. */
  bytes: number;
  /** Accounts for the call already. @default the gate accounts for `bytes` while the call waits */
  held?: MemoryHolder;
  /** Id of the call, for the log. */
  callId?: string;
}

/** Accounts for the bytes of a call while it waits. */
export interface HeldBytes {
  release(): void;
}

type TicketState = 'waiting' | 'granted' | 'ended';

/** Interval at which waiting calls are reviewed, in milliseconds: about the time in which an engine ends a call. */
export const REVIEW_INTERVAL_MS = 25;
/** Fraction of a call's time after which it is not held any longer, so that its caller can still retry. */
const MAX_HELD_FRACTION = 0.5;
/** The same for a program that has not begun: nothing is lost if it begins later. */
const MAX_HELD_FRACTION_OF_FIRST_TURN = 0.25;

/** How a request was ended while it waited or had a permit. */
export interface PermitEnd {
  hadPermit: boolean;
  wasSent: boolean;
  isTypical: boolean;
}

/** A request in the queue. */
export class PermitTicket implements WaitingCall, PermitRequest {
  readonly service: string;
  readonly priority: number;
  readonly tenant: string;
  readonly hasBegun: boolean;
  readonly deadlineMs: number;
  readonly programDeadlineMs: number | undefined;
  readonly isProgramLate: boolean;
  readonly bytes: number;
  waitedMs: number | undefined;
  waitedBehind: number | undefined;
  /** When the permit was granted (monotonic, milliseconds). */
  grantedAt = 0;
  /** Calls in flight at the service as a multiple of its capacity when the permit was granted. */
  utilization = 0;
  private state: TicketState = 'waiting';
  private heldBytes: HeldBytes | undefined;
  private readonly deferred = new Deferred<PermitRefusal | undefined>();

  /**
   * @param queuedAt arrival at the queue (monotonic, milliseconds)
   * @param onEnd called once if the request is ended while it waits or has a permit
   */
  constructor(
    call: PermitCall,
    readonly queuedAt: number,
    private readonly onEnd: (ticket: PermitTicket, end: PermitEnd) => void,
  ) {
    const { programRemainingMs } = call;
    this.service = call.service;
    this.priority = call.priority;
    this.tenant = call.tenant ?? '';
    this.hasBegun = call.hasBegun;
    this.deadlineMs = call.deadlineMs;
    this.programDeadlineMs =
      programRemainingMs === undefined ? undefined : queuedAt + programRemainingMs;
    this.isProgramLate = programRemainingMs === 0;
    this.bytes = call.bytes;
  }

  get isWaiting(): boolean {
    return this.state === 'waiting';
  }

  /** Takes over what accounts for the bytes of the call; released once it no longer waits. */
  hold(heldBytes: HeldBytes): void {
    this.heldBytes = heldBytes;
  }

  get decision(): Promise<PermitRefusal | undefined> {
    return this.deferred.promise;
  }

  /**
   * Latest time at which the call is still sent (monotonic, milliseconds).
   * @param typicalMs mean latency of a call of the service
   */
  latestStartMs(typicalMs: number): number {
    const fraction = this.hasBegun ? MAX_HELD_FRACTION : MAX_HELD_FRACTION_OF_FIRST_TURN;
    const heldUntil = this.queuedAt + (this.deadlineMs - this.queuedAt) * fraction;
    // The next review, at which the call is refused, may be a whole interval later.
    return Math.min(this.deadlineMs - typicalMs, heldUntil - REVIEW_INTERVAL_MS);
  }

  grant(now: number, utilization: number): void {
    this.grantedAt = now;
    this.utilization = utilization;
    this.state = 'granted';
    this.heldBytes?.release();
    this.noteWait(now);
    this.deferred.resolve(undefined);
  }

  refuse(refusal: PermitRefusal, now: number): void {
    this.state = 'ended';
    this.heldBytes?.release();
    this.noteWait(now);
    this.deferred.resolve(refusal);
  }

  end(wasSent: boolean, isTypical = false): void {
    const { state } = this;
    if (state === 'ended') return;
    this.state = 'ended';
    this.heldBytes?.release();
    this.deferred.resolve(undefined);
    this.onEnd(this, { hadPermit: state === 'granted', wasSent, isTypical });
  }

  private noteWait(now: number): void {
    if (this.waitedBehind !== undefined) this.waitedMs = now - this.queuedAt;
  }
}
