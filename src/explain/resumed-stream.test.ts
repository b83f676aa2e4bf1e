/** Operators must learn from the logs why a resumed stream went on where it did, or why it was refused. */
import { describe, expect, it } from 'vitest';
import { explain } from './explanation.js';
import type { LogRecord } from './log-record.js';

const START = Date.parse('2026-01-01T00:00:00.000Z');

function call(atMs: number, node: string, fields: Record<string, unknown>): LogRecord {
  const time = new Date(START + atMs).toISOString();
  return {
    time,
    level: 'info',
    event: 'call',
    process: 'gateway',
    node,
    fields: { ms: 10, ...fields },
  };
}

const FIRST = call(1_000, 'gateway-1', { call: 'a', outcome: 'broken-off', versions: 'v1' });
const SECOND = call(2_000, 'gateway-2', {
  call: 'b',
  outcome: 'answered',
  versions: 'v1',
  lastEventId: '2',
  resumedAttempt: 'a',
  streamVersion: 'version v1',
});
const OTHER = call(1_500, 'gateway-1', { call: 'x', outcome: 'answered', versions: 'v2' });

describe('the explanation of a resumed stream', () => {
  it.each(['a', 'b'])('has the lines of all its attempts if attempt %s is asked for', (id) => {
    const { direct } = explain(id, [FIRST, OTHER, SECOND]);
    expect(direct.map(({ fields }) => fields.call)).toEqual(['a', 'b']);
  });

  it('tells the version that began it, and where it went on', () => {
    const [finding] = explain('b', [FIRST, SECOND]).findings;
    expect(finding).toMatchObject({ call: 'b', node: 'gateway-2', cause: 'resumed-stream' });
    expect(finding!.text).toBe(
      'resumed the stream of attempt a after event 2 at version v1; gateway-1 had sent that attempt to v1',
    );
  });

  it('tells why it was refused without the name of an attempt', () => {
    const { resumedAttempt: _named, ...unnamed } = SECOND.fields;
    const textOf = (fields: Record<string, unknown>): string =>
      explain('b', [{ ...SECOND, fields: { ...unnamed, outcome: 'unknown-stream', ...fields } }])
        .findings[0]!.text;
    expect(textOf({ possibleVersions: 'version v1,version v2' })).toBe(
      'refused to resume the stream of attempt unknown after event 2: the caller names no attempt, ' +
        'and not exactly one version may have begun it (known: version v1,version v2)',
    );
    expect(textOf({ reason: 'no leader answered' })).toBe(
      'refused to resume the stream of attempt unknown after event 2: ' +
        'the directory did not tell versions: no leader answered',
    );
  });

  it('tells why it was refused', () => {
    const textOf = (fields: Record<string, unknown>): string =>
      explain('b', [{ ...SECOND, fields: { ...SECOND.fields, ...fields } }]).findings[0]!.text;
    expect(textOf({ outcome: 'unknown-stream' })).toBe(
      'refused to resume the stream of attempt a after event 2: the ledger has no software version of it',
    );
    expect(textOf({ outcome: 'no-backend-of-version' })).toBe(
      'refused to resume the stream of attempt a after event 2: no back end of version v1 accepted new calls',
    );
  });
});
