/** Which events may follow which, within a run and where another run takes the stream up. */
import { describe, expect, it } from 'vitest';
import { EventSequence } from './event-sequence.js';

/** A run by the ids of its events; each run after the first takes the stream up. */
type Run = (string | undefined)[];

/** Passes runs on until an event does not follow. @returns the ids that were passed on */
function passed(runs: Run[], lastEventId?: string): string[] {
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

/** Ids of both runs, where the second goes on with another number than the next one. */
const gaps: [string, string[], string[]][] = [
  ['after several events', ['1', '2'], ['4', '5']],
  ['after the first event', ['1'], ['3', '4']],
  ['after events of a stream that begins at 0', ['0'], ['2', '3']],
  ['after one event of a stream that was taken up before', ['7', '8'], ['10', '11']],
];

describe('a run that takes a stream up', () => {
  it('goes on with the next event', () => {
    expect(passed([['1', '2'], ['3'], ['4', '5']])).toEqual(['1', '2', '3', '4', '5']);
  });

  it.each(gaps)('leaves nothing out %s', (_name, first, second) => {
    expect(passed([first, second])).toEqual(first);
  });

  // One event of each run was passed on, and the third run left one out. Steps of one where a run
  // takes another up were no sign that ids count events, so it was passed on too.
  it('leaves nothing out after runs of one event each', () => {
    expect(passed([['5'], ['6'], ['8', '9']])).toEqual(['5', '6']);
  });

  it('shows by its own steps that it left something out', () => {
    expect(passed([['4', '5']], '2')).toEqual(['4']);
  });

  it.each([['1'], ['2']])('does not repeat event %s', (id) => {
    expect(passed([['1', '2'], [id]])).toEqual(['1', '2']);
  });

  it('may rise by any step where steps are wide within runs', () => {
    expect(passed([['1', '26', '51'], ['80']])).toEqual(['1', '26', '51', '80']);
  });

  it('must have whole numbers for ids', () => {
    expect(passed([['1', '2'], ['c']])).toEqual(['1', '2']);
    expect(passed([['1', '2'], [undefined]])).toEqual(['1', '2']);
  });
});

describe('a stream that breaks', () => {
  const mayGoOnAfter = (ids: (string | undefined)[]): boolean => {
    const sequence = new EventSequence(undefined);
    for (const id of ids) expect(sequence.take(id)).toBe(true);
    return sequence.canResume;
  };

  it('may be taken up where ids are whole numbers that rise', () => {
    expect(mayGoOnAfter([])).toBe(true);
    expect(mayGoOnAfter(['1', '2'])).toBe(true);
  });

  it.each([[['1', undefined]], [['a']], [['2', '1']], [['1', '1']]])(
    'may not be taken up after %j',
    (ids) => {
      expect(mayGoOnAfter(ids)).toBe(false);
    },
  );

  // A second run's event without an id was turned away, and yet counted as passed on, so that a third
  // run was not tried.
  it('may be taken up after an event that was turned away', () => {
    const sequence = new EventSequence(undefined);
    sequence.take('1');
    sequence.beginRun();
    expect(sequence.take(undefined)).toBe(false);
    expect(sequence.canResume).toBe(true);
  });
});
