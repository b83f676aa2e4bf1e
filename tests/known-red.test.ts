/** The list of known failures must not let another failure of a listed test pass, nor that of another test. */
import { describe, expect, it } from 'vitest';
import { isKnownRed, listPassedKnownRed } from '../scripts/known-red.mjs';

const LINES = [
  'a group commits again, seen once of ten, 43',
  'a turn stays readable [fails with "not in time: a leader"], seen once of ten, 43',
];

describe('a failed test', () => {
  it('is known if a line starts with its whole name', () => {
    const failureMessages = ['any message'];
    expect(isKnownRed(LINES, { fullName: 'a group commits again', failureMessages })).toBe(true);
    expect(isKnownRed(LINES, { fullName: 'a group commits', failureMessages })).toBe(false);
    expect(isKnownRed(LINES, { fullName: 'a group commits again and again' })).toBe(false);
  });

  it('is known only with the failure that its line names', () => {
    const fullName = 'a turn stays readable';
    const known = { fullName, failureMessages: ['seed 7: not in time: a leader; more'] };
    expect(isKnownRed(LINES, known)).toBe(true);
    const lost = { fullName, failureMessages: ['seed 7: 1 of 3 lost'] };
    expect(isKnownRed(LINES, lost)).toBe(false);
    const both = { fullName, failureMessages: [...known.failureMessages, ...lost.failureMessages] };
    expect(isKnownRed(LINES, both)).toBe(false);
  });
});

it('lists lines whose tests have passed', () => {
  const passed = [{ fullName: 'a turn stays readable' }, { fullName: 'another test' }];
  expect(listPassedKnownRed(LINES, passed)).toEqual([LINES[1]]);
});
