/**
 * The ids of one stream's events, over all runs that it is made of. A run that takes the stream up
 * must go on with the event after the last one; anything else repeats events or leaves some out.
 */

const WHOLE_NUMBER = /^\d+$/;
/** Streams whose ids count their events begin at 0 or at 1. */
const HIGHEST_FIRST_COUNT = 1;

/** Whether ids count the events, so that a gap shows, or rise by wider steps. */
type Numbering = 'unknown' | 'counting' | 'wide';

export class EventSequence {
  private last: number | undefined;
  /** Whether the next event is the first of its run, and follows events of another. */
  private isAtSeam: boolean;
  private numbering: Numbering = 'unknown';
  /** Whether a run went on by more than one, which is a gap if ids turn out to count events. */
  private hadWideSeam = false;
  private isComparable = true;

  /** @param lastEventId of the event that the caller has, if it takes the stream up */
  constructor(lastEventId: string | undefined) {
    this.last = numberOf(lastEventId);
    this.isAtSeam = this.last !== undefined;
  }

  /** Whether a run may take the stream up: its last id tells which events were passed on. */
  get canResume(): boolean {
    return this.isComparable;
  }

  /** Another run takes the stream up. */
  beginRun(): void {
    this.isAtSeam = this.last !== undefined;
  }

  /** @returns false when the event is not the one that follows */
  take(id: string | undefined): boolean {
    const next = numberOf(id);
    if (next === undefined || this.last === undefined) return this.takeFirst(next);
    const step = next - this.last;
    const follows = this.isAtSeam ? this.takeAtSeam(step) : this.takeWithinRun(step);
    if (!follows) return false;
    this.isAtSeam = false;
    this.last = next;
    return true;
  }

  /** An event without a number before it, or without one of its own. */
  private takeFirst(next: number | undefined): boolean {
    if (next === undefined) {
      if (this.isAtSeam) return false;
      this.isComparable = false;
      return true;
    }
    if (next <= HIGHEST_FIRST_COUNT) this.numbering = 'counting';
    this.last = next;
    return true;
  }

  private takeAtSeam(step: number): boolean {
    if (step <= 0) return false;
    if (step > 1 && this.numbering === 'counting') return false;
    this.hadWideSeam ||= step > 1;
    this.noteStepOfOne(step);
    return true;
  }

  private takeWithinRun(step: number): boolean {
    if (step === 1 && this.hadWideSeam && this.numbering === 'unknown') return false;
    if (step > 1) this.numbering = 'wide';
    // A run's own order is its own matter, but it can't be taken up by its last id then.
    if (step <= 0) this.isComparable = false;
    this.noteStepOfOne(step);
    return true;
  }

  private noteStepOfOne(step: number): void {
    if (step === 1 && this.numbering === 'unknown') this.numbering = 'counting';
  }
}

function numberOf(id: string | undefined): number | undefined {
  return id !== undefined && WHOLE_NUMBER.test(id) ? Number(id) : undefined;
}
