/**
 * One start of a back end. A back end may start again under its name: it then holds and knows nothing of before,
 * and its counts begin anew, so that nothing known of one start may be taken for another's.
 */
export interface Incarnation {
  /** What the back end goes by, in all its starts. */
  name: string;
  /** When it started, in milliseconds of its own time of day; absent where each start has a name of its own. */
  startedAt?: number;
}

/** An id that differs wherever name or start differ. */
export function incarnationId({ name, startedAt }: Incarnation): string {
  const escaped = encodeURIComponent(name);
  return startedAt === undefined ? escaped : `${escaped}@${startedAt}`;
}

/** Whether an id is one of a back end's starts. */
export function isIncarnationOf(id: string, name: string): boolean {
  const escaped = encodeURIComponent(name);
  return id === escaped || id.startsWith(`${escaped}@`);
}

/** Whether the first of two starts of one back end is the later one. */
export function isLaterIncarnation(first: Incarnation, second: Incarnation): boolean {
  if (first.startedAt === undefined) return false;
  // Where one says when it started, one of the same name that doesn't is no start of it.
  return second.startedAt === undefined || first.startedAt > second.startedAt;
}
