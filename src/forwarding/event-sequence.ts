/**
 * Checks the event ids of a stream that consists of several runs. A run that resumes the stream must
 * continue with the event after the last one; otherwise events would be repeated or lost.
 */

const WHOLE_NUMBER = /^\d+$/;
/** Streams whose ids count their events start at 0 or 1. */
const HIGHEST_FIRST_COUNT = 1;

/** Whether ids count the events, so that gaps are detectable, or increase by larger steps. */
type Numbering = 'unknown' | 'counting' | 'wide';

export class EventSequence {
  private last: number | undefined;
  /** Whether the next event is the first of a run that resumes the stream. */
  private isResuming: boolean;
  private numbering: Numbering = 'unknown';
  /** Whether a run resumed with a step above 1, which is a gap if ids count the events. */
  private hadWideResume = false;
  private isOrdered = true;

  /** @param lastEventId id of the last event that the caller has received, if it resumes a stream */
  constructor(lastEventId: string | undefined) {
    this.last = numberOf(lastEventId);
    this.isResuming = this.last !== undefined;
  }

  /** Whether another run can resume the stream, because the last id identifies the events already relayed. */
  get canResume(): boolean {
    return this.isOrdered;
  }

  /** Starts another run, which resumes the stream. */
  beginRun(): void {
    this.isResuming = this.last !== undefined;
  }

  /** @returns false if the event is not the next one */
  take(id: string | undefined): boolean {
    const next = numberOf(id);
    if (next === undefined || this.last === undefined) return this.takeFirst(next);
    const step = next - this.last;
    const follows = this.isResuming ? this.takeResumed(step) : this.takeWithinRun(step);
    if (!follows) return false;
    this.isResuming = false;
    this.last = next;
    return true;
  }

  /** Handles events without a numeric id and the first event with one. */
  private takeFirst(next: number | undefined): boolean {
    if (next === undefined) {
      if (this.isResuming) return false;
      this.isOrdered = false;
      return true;
    }
    if (next <= HIGHEST_FIRST_COUNT) this.numbering = 'counting';
    this.last = next;
    return true;
  }

  private takeResumed(step: number): boolean {
    if (step <= 0) return false;
    if (step > 1 && this.numbering === 'counting') return false;
    this.hadWideResume ||= step > 1;
    this.noteStepOfOne(step);
    return true;
  }

  private takeWithinRun(step: number): boolean {
    if (step === 1 && this.hadWideResume && this.numbering === 'unknown') return false;
    if (step > 1) this.numbering = 'wide';
    // Any order is accepted within a run, but such a stream cannot be resumed by its last id.
    if (step <= 0) this.isOrdered = false;
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
