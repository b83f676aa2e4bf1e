/** Event order within a run and when another run resumes the stream. */
import { describe, expect, it } from 'vitest';
import { EventSequence } from './event-sequence.js';

/** The event ids of a run; each run after the first resumes the stream. */
type Run = (string | undefined)[];

/** Relays runs until an event is rejected. @returns the ids of the relayed events */
function relayed(runs: Run[], lastEventId?: string): string[] {
  const sequence = new EventSequence(lastEventId);
  const ids: string[] = [];
  for (const [index, run] of runs.entries()) {
    if (index > 0) sequence.beginRun();
    for (const id of run) {
      if (!sequence.take(id)) return ids;
      ids.push(id ?? '');
    }
  }
  return ids;
}

/** Ids of two runs with a gap between them. */
const gaps: [string, string[], string[]][] = [
  ['after several events', ['1', '2'], ['4', '5']],
  ['after the first event', ['1'], ['3', '4']],
  ['after events of a stream that starts at 0', ['0'], ['2', '3']],
  ['after events of a stream that does not start at 1', ['7', '8'], ['10', '11']],
];

describe('a run that resumes a stream', () => {
  it('continues with the next event', () => {
    expect(relayed([['1', '2'], ['3'], ['4', '5']])).toEqual(['1', '2', '3', '4', '5']);
  });

  it.each(gaps)('must not skip events %s', (_name, first, second) => {
    expect(relayed([first, second])).toEqual(first);
  });

  // Regression: steps of one between runs did not count as evidence of consecutive ids, so that a
  // gap before the third run was not detected.
  it('must not skip events after runs of one event each', () => {
    expect(relayed([['5'], ['6'], ['8', '9']])).toEqual(['5', '6']);
  });

  it('reveals a skipped event by its own steps', () => {
    expect(relayed([['4', '5']], '2')).toEqual(['4']);
  });

  it.each([['1'], ['2']])('must not repeat event %s', (id) => {
    expect(relayed([['1', '2'], [id]])).toEqual(['1', '2']);
  });

  it('may use any step if steps within runs are larger than one', () => {
    expect(relayed([['1', '26', '51'], ['80']])).toEqual(['1', '26', '51', '80']);
  });

  it('must have integer ids', () => {
    expect(relayed([['1', '2'], ['c']])).toEqual(['1', '2']);
    expect(relayed([['1', '2'], [undefined]])).toEqual(['1', '2']);
  });
});

describe('an interrupted stream', () => {
  const canResumeAfter = (ids: (string | undefined)[]): boolean => {
    const sequence = new EventSequence(undefined);
    for (const id of ids) expect(sequence.take(id)).toBe(true);
    return sequence.canResume;
  };

  it('is resumable if ids are increasing integers', () => {
    expect(canResumeAfter([])).toBe(true);
    expect(canResumeAfter(['1', '2'])).toBe(true);
  });

  it.each([[['1', undefined]], [['a']], [['2', '1']], [['1', '1']]])(
    'is not resumable after %j',
    (ids) => {
      expect(canResumeAfter(ids)).toBe(false);
    },
  );

  // Regression: a rejected event without an id made the stream count as not resumable.
  it('is resumable after a rejected event', () => {
    const sequence = new EventSequence(undefined);
    sequence.take('1');
    sequence.beginRun();
    expect(sequence.take(undefined)).toBe(false);
    expect(sequence.canResume).toBe(true);
  });
});
