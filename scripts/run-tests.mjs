/**
 * Runs the test suite and prints the totals of the JSON report of Vitest on the last line.
 *
 * Failures listed in KNOWN-RED.txt (see `known-red.mjs`) are printed and do not fail the run. Listed tests that pass are
 * printed as well.
 */
import { spawnSync } from 'node:child_process';
import { existsSync, readFileSync, rmSync } from 'node:fs';
import { isKnownRed, listPassedKnownRed, readKnownRed } from './known-red.mjs';

const REPORT_FILE = 'test-report.json';
const KNOWN_RED_FILE = 'KNOWN-RED.txt';
/** Characters of a failure's message that the summary shows. */
const MAX_MESSAGE_LENGTH = 600;

rmSync(REPORT_FILE, { force: true });
const vitest = spawnSync(
  process.execPath,
  [
    'node_modules/vitest/vitest.mjs',
    'run',
    '--reporter=default',
    '--reporter=json',
    `--outputFile.json=${REPORT_FILE}`,
    ...process.argv.slice(2),
  ],
  { stdio: 'inherit' },
);
if (!existsSync(REPORT_FILE)) {
  console.error('vitest did not write a report');
  process.exit(vitest.status || 1);
}

const report = JSON.parse(readFileSync(REPORT_FILE, 'utf8'));
const tests = report.testResults.flatMap((file) => file.assertionResults);
const failedTests = tests.filter(({ status }) => status === 'failed');
const passedTests = tests.filter(({ status }) => status === 'passed');
const knownRed = readKnownRed(KNOWN_RED_FILE);
for (const line of knownRed) console.log(`known red: ${line}`);
for (const line of listPassedKnownRed(knownRed, passedTests))
  console.log(`known red, but passed: ${line}`);
const unexpected = failedTests.filter((test) => !isKnownRed(knownRed, test));
const brokenFiles = report.testResults.filter(
  (file) => file.status === 'failed' && file.assertionResults.length === 0,
);
for (const file of brokenFiles) console.error(`test file did not load: ${file.name}`);
// The report omits uncaught errors; they are the only remaining cause of a failed run without failed tests.
const hasUncaughtErrors =
  vitest.status !== 0 && failedTests.length === 0 && brokenFiles.length === 0;
if (hasUncaughtErrors) console.error('uncaught errors outside of tests, see above');
// Printed last, since only the end of the output is kept of a run elsewhere.
for (const { fullName, failureMessages = [] } of unexpected)
  console.error(
    `not known red: ${fullName}: ${(failureMessages[0] ?? '').slice(0, MAX_MESSAGE_LENGTH)}`,
  );
const failures = unexpected.length + brokenFiles.length + Number(hasUncaughtErrors);
const passedNothing = report.numPassedTests === 0;
process.exitCode = failures > 0 || passedNothing ? 1 : 0;
const failed = failedTests.length + brokenFiles.length + Number(hasUncaughtErrors);
console.log(`${report.numPassedTests} passed, ${failed} failed`);
