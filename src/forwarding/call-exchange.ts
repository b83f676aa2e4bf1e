/** The callers' side of forwarded calls, as the product sees it; an adapter speaks the protocol. */

/** One part of a prompt; parts with the same id hold the same tokens. */
export interface PromptPart {
  id: string;
  tokens: number;
}

/** Who the call belongs to, when it is part of an agent program. */
export interface ProgramContext {
  id: string;
  session?: string;
  /** Tokens that all turns of the program may generate. */
  budgetTokens?: number;
  /** Time left until the program should be over, in milliseconds; 0 when that is past. */
  remainingMs?: number;
}

/** A call as its caller sent it. */
export interface CallDescription {
  /** Unique to this attempt of the caller; absent when the caller named none. */
  id?: string;
  host: string;
  /** Path without the query. */
  path: string;
  method: string;
  /** Path with the query, as sent on. */
  target: string;
  /** Names and values in turn, to be passed on. */
  headers: string[];
  body: Buffer;
  /** How long the caller waits from the arrival of the call, in milliseconds. */
  patienceMs?: number;
  program?: ProgramContext;
  /** Most tokens that the call generates. */
  mostTokens: number;
  promptParts: PromptPart[];
  /** Calls with the same key concern the same object. */
  affinityKey?: string;
  /** The turn that this one continues. */
  previousTurn?: string;
  /** A stream is taken up after this event. */
  lastEventId?: string;
  /** The caller's credential; never logged, never passed on. */
  apiKey?: string;
}

/** A first turn holds what is shared and its own input. */
const FIRST_TURN_PARTS = 2;

/** Whether a model call begins its program. */
export function isFirstTurn({ promptParts, previousTurn }: CallDescription): boolean {
  return promptParts.length <= FIRST_TURN_PARTS && previousTurn === undefined;
}

export type RefusalReason =
  | 'no-route'
  | 'unknown-key'
  | 'over-limit'
  | 'missing-id'
  | 'budget-exhausted'
  | 'unknown-predecessor'
  | 'not-ready'
  | 'ledger-unavailable'
  | 'history-missing'
  | 'no-backend'
  | 'overloaded'
  | 'not-admitted'
  | 'not-executed'
  | 'outcome-unknown'
  | 'time-limit-before-start'
  | 'time-limit';

/** An answer of the system's own. */
export interface Refusal {
  reason: RefusalReason;
  /** When the caller may come back, in milliseconds; only where the call has not run. */
  retryAfterMs?: number;
}

/** Head of a back end's answer, passed on unchanged. */
export interface ResponseHead {
  status: number;
  statusText: string;
  /** Names and values in turn. */
  headers: string[];
}

/** One call under way at the callers' side. */
export interface CallExchange {
  readonly description: CallDescription;
  /** Monotonic time at which the call had been read, in milliseconds. */
  readonly arrivedAt: number;
  /** Whether the caller has left. */
  readonly isAbandoned: boolean;
  onAbandoned(listener: () => void): void;
  begin(head: ResponseHead): void;
  /** @returns false when the caller reads slowly; `onDrained` follows */
  write(chunk: Uint8Array): boolean;
  onDrained(listener: () => void): void;
  /** Ends the answer as complete. */
  end(chunk?: Uint8Array): void;
  /** Ends the answer so that it can't look complete. */
  abort(): void;
  refuse(refusal: Refusal): void;
}
