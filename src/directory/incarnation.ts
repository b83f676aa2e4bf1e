/**
 * One run of a backend process. A restarted backend keeps its name but none of its state, and its sequence numbers
 * begin again, so that the state of one incarnation must not be attributed to another.
 */
export interface Incarnation {
  /** Name of the backend, the same for all its incarnations. */
  name: string;
  /** Start time by the backend's own wall clock, in milliseconds; absent if each incarnation has its own name. */
  startedAt?: number;
}

/** Id that is unique for each combination of name and start time. */
export function incarnationId({ name, startedAt }: Incarnation): string {
  const escaped = encodeURIComponent(name);
  return startedAt === undefined ? escaped : `${escaped}@${startedAt}`;
}

/** Whether an id is of an incarnation of the named backend. */
export function isIncarnationOf(id: string, name: string): boolean {
  const escaped = encodeURIComponent(name);
  return id === escaped || id.startsWith(`${escaped}@`);
}

/** Whether the first of two incarnations of a backend is the later one. */
export function isLaterIncarnation(first: Incarnation, second: Incarnation): boolean {
  if (first.startedAt === undefined) return false;
  // An incarnation without a start time counts as earlier than one that has it.
  return second.startedAt === undefined || first.startedAt > second.startedAt;
}
