/**
 * The explanation of a turn refused for its missing history must show which journals lost kept turns, although their
 * lines were logged long before the refusal and name no call.
 */
import { describe, expect, it } from 'vitest';
import { explain } from './explanation.js';
import { type LogRecord, parseLogLine } from './log-record.js';

const LINES = `
{"time":"2026-01-01T00:01:07.200Z","level":"info","event":"process.start","process":"journal","node":"journal-1"}
{"time":"2026-01-01T00:01:33.400Z","level":"info","event":"process.start","process":"journal","node":"journal-1"}
{"time":"2026-01-01T00:01:33.480Z","level":"info","event":"value store opened","process":"journal","node":"journal-1","values":792,"segments":2,"bytes":1320000,"unsealedSegments":1,"unsealedBytes":480000}
{"time":"2026-01-01T00:01:33.500Z","level":"warn","event":"kept turns restored","process":"journal","node":"journal-1","named":1980,"missing":1188}
{"time":"2026-01-01T00:01:33.410Z","level":"info","event":"process.start","process":"journal","node":"journal-2"}
{"time":"2026-01-01T00:01:33.510Z","level":"warn","event":"kept turns restored","process":"journal","node":"journal-2","named":1980,"missing":1241}
{"time":"2026-01-01T00:01:34.100Z","level":"info","event":"kept turns restored","process":"journal","node":"journal-3","named":1980,"missing":0}
{"time":"2026-01-01T00:01:41.000Z","level":"info","event":"kept turns fetched","process":"journal","node":"journal-1","asked":3,"missing":3}
{"time":"2026-01-01T00:01:41.100Z","level":"info","event":"kept turns fetched","process":"journal","node":"journal-2","asked":4,"missing":0}
{"time":"2026-01-01T00:01:41.900Z","level":"info","event":"history not read","process":"gateway","node":"gateway-1","turn":"6:office:before","peer":"10.0.0.2:7000","reason":"RemoteError at ledger.read-history (10.0.0.2:7000): 2 kept turns are held by no member that answered"}
{"time":"2026-01-01T00:01:41.950Z","level":"info","event":"history asked of the leader","process":"gateway","node":"gateway-1","turn":"6:office:before","reason":"HistoryNotReadError at ledger.read-history: none of 1 members returned the history"}
{"time":"2026-01-01T00:01:41.960Z","level":"info","event":"history not read","process":"gateway","node":"gateway-2","turn":"6:office:before","peer":"10.0.0.2:7000","reason":"another call's"}
{"time":"2026-01-01T00:01:42.000Z","level":"warn","event":"reservation failed","process":"gateway","node":"gateway-1","call":"late","program":"p1","step":"read-history","reason":"HistoryMissingError at ledger.reserve (ledger): 2 kept turns are held by no member that answered, and every member answers"}
{"time":"2026-01-01T00:01:42.001Z","level":"warn","event":"call","process":"gateway","node":"gateway-1","call":"late","outcome":"history-missing","ms":160,"reserveParts":"0+120+38","ledgerAsked":2,"leader":"10.0.0.1:7000","leaderAgeMs":80,"failedStep":"read-history","previousTurn":"before","program":"p1"}
{"time":"2026-01-01T00:01:42.300Z","level":"warn","event":"reservation failed","process":"gateway","node":"gateway-1","call":"earlier-words","program":"p2","reason":"GroupUnavailableError at ledger.reserve (ledger): no leader answered: 2 kept turns are held by no member that answered"}
{"time":"2026-01-01T00:01:43.000Z","level":"warn","event":"call","process":"gateway","node":"gateway-1","call":"other","outcome":"no-backend","ms":3,"program":"p3"}
{"time":"2026-01-01T00:01:50.000Z","level":"info","event":"kept turns restored","process":"journal","node":"journal-1","named":2100,"missing":0}
`;

const records = LINES.split('\n')
  .map(parseLogLine)
  .filter((record): record is LogRecord => record !== undefined);

const EXPECTED_TURNS = [
  {
    node: 'journal-2',
    at: '2026-01-01T00:01:33.510Z',
    startedAt: '2026-01-01T00:01:33.410Z',
    named: 1980,
    missing: 1241,
  },
  {
    node: 'journal-1',
    at: '2026-01-01T00:01:33.500Z',
    startedAt: '2026-01-01T00:01:33.400Z',
    named: 1980,
    missing: 1188,
    storedValues: 792,
  },
  { node: 'journal-3', at: '2026-01-01T00:01:34.100Z', named: 1980, missing: 0 },
];

describe('the explanation of a turn with a missing history', () => {
  it.each(['late', 'p1', 'earlier-words'])(
    'lists the missing turns of each member for %s',
    (id) => {
      expect(explain(id, records).restoredTurns).toEqual(EXPECTED_TURNS);
    },
  );

  it('shows the failed step and the log lines about the previous turn', () => {
    const { direct } = explain('late', records);
    expect(direct.map(({ event }) => event)).toEqual([
      'history not read',
      'history asked of the leader',
      'reservation failed',
      'call',
    ]);
    expect(direct.at(-1)!.fields).toMatchObject({ failedStep: 'read-history', leaderAgeMs: 80 });
  });

  it('shows only fetches with missing values', () => {
    const fetched = explain('late', records).surrounding.filter(
      ({ event }) => event === 'kept turns fetched',
    );
    expect(fetched.map(({ node }) => node)).toEqual(['journal-1']);
  });

  it('omits kept turns if the call failed for another reason', () => {
    expect(explain('other', records).restoredTurns).toEqual([]);
  });
});
