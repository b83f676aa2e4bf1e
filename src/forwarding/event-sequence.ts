/**
 * The ids of one stream's events, over all runs that it is made of. A run that takes the stream up
 * must go on with the event after the last one; anything else repeats events or leaves some out.
 */

const WHOLE_NUMBER = /^\d+$/;

export class EventSequence {
  private last: number | undefined;
  /** Whether the next event is the first of its run, and follows events of another. */
  private isAtSeam: boolean;
  /** Whether ids rose by one within a run: they count the events. */
  private countsEvents = false;
  private wasSeamWider = false;
  private isComparable = true;

  /** @param lastEventId of the event that the caller has, if it takes the stream up */
  constructor(lastEventId: string | undefined) {
    this.last = numberOf(lastEventId);
    this.isAtSeam = this.last !== undefined;
  }

  /** Whether a run may take the stream up: its last id tells which events were passed on. */
  get mayGoOn(): boolean {
    return this.isComparable;
  }

  /** Another run takes the stream up. */
  beginRun(): void {
    this.isAtSeam = this.last !== undefined;
  }

  /** @returns false when the event is not the one that follows */
  take(id: string | undefined): boolean {
    const next = numberOf(id);
    const { last, isAtSeam } = this;
    if (next === undefined || last === undefined) return this.takeFirst(next);
    const step = next - last;
    if (isAtSeam) {
      if (step <= 0 || (this.countsEvents && step !== 1)) return false;
      this.wasSeamWider ||= step > 1;
    } else {
      if (step === 1 && this.wasSeamWider) return false;
      this.countsEvents ||= step === 1;
      // A run's own order is its own matter, but it can't be taken up by its last id then.
      if (step <= 0) this.isComparable = false;
    }
    this.isAtSeam = false;
    this.last = next;
    return true;
  }

  /** An event without a number before it, or without one of its own. */
  private takeFirst(next: number | undefined): boolean {
    if (next === undefined) {
      this.isComparable = false;
      return !this.isAtSeam;
    }
    this.last = next;
    return true;
  }
}

function numberOf(id: string | undefined): number | undefined {
  return id !== undefined && WHOLE_NUMBER.test(id) ? Number(id) : undefined;
}
