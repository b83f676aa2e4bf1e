/**
 * The tests that are known to fail, one a line of KNOWN-RED.txt:
 *
 *     TEST NAME, what was seen, issue
 *     TEST NAME [fails with "TEXT"], what was seen, issue
 *
 * With a text, only failures whose message contains it are known.
 */
import { existsSync, readFileSync } from 'node:fs';

const FAILURE_TEXT = /^ \[fails with "([^"]*)"\],/;

/** @returns the lines of the file; none if there is no such file */
export function readKnownRed(path) {
  if (!existsSync(path)) return [];
  return readFileSync(path, 'utf8').split('\n').filter(Boolean);
}

/** Whether a line is about a test. */
function isAbout(line, testName) {
  if (!line.startsWith(testName)) return false;
  const rest = line.slice(testName.length);
  return rest.startsWith(',') || FAILURE_TEXT.test(rest);
}

/**
 * Whether a failure is known.
 * @param lines lines of the file
 * @param test `fullName` and `failureMessages` of a failed test in the JSON report of Vitest
 */
export function isKnownRed(lines, { fullName, failureMessages = [] }) {
  return lines.some((line) => {
    if (!isAbout(line, fullName)) return false;
    const [, text] = FAILURE_TEXT.exec(line.slice(fullName.length)) ?? [];
    return text === undefined || failureMessages.every((message) => message.includes(text));
  });
}

/** Lines about tests that have passed, which may have become stale. */
export function listPassedKnownRed(lines, passedTests) {
  return lines.filter((line) => passedTests.some(({ fullName }) => isAbout(line, fullName)));
}
