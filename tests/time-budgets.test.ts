/**
 * A drain had to be obeyed within two seconds, while the limit of silence of a connection could grow to
 * four: no constant was wrong by itself, and nothing compared them. Each promise with a time in it is held
 * here against the sum of the times that it depends on; docs/design/time-budgets.md explains the rows.
 */
import { readFileSync } from 'node:fs';
import { describe, expect, it } from 'vitest';
import { VOTE_TIMEOUT_MS } from '../src/consensus/election.js';
import { DEFAULT_MAXIMUM_PAUSE_MS } from '../src/consensus/group-client.js';
import { checkConsensusOptions } from '../src/consensus/options.js';
import {
  COMMITTED_UPDATE_TIMEOUT_MS,
  OPERATOR_REQUEST_TIMEOUT_MS,
  REGISTRATION_TIMEOUT_MS,
} from '../src/directory/directory-client.js';
import {
  BACKENDS_CONFIRM_MS,
  CONFIGURATION_CONFIRM_MS,
  WATCH_LONG_POLL_MS,
} from '../src/directory/directory-leader.js';
import {
  LEADER_OVERDUE_MS,
  MAX_MEMBER_POLL_INTERVAL_MS,
  WATCH_MAXIMUM_PAUSE_MS,
  WATCH_TRY_TIMEOUT_MS,
} from '../src/directory/directory-watcher.js';
import { GATEWAY_ACTIVE_WINDOW_MS } from '../src/directory/gateway-confirmations.js';
import { CONSENSUS_TIMING } from '../src/nodes/node-settings.js';
import { keyLeaseMs } from '../src/tenants/index.js';
import { CONNECTION_ATTEMPT_DELAY_MS } from '../src/wire/connection-race.js';
import {
  CONNECT_TIMEOUT_MS,
  INITIAL_RECONNECT_DELAY_MS,
  MAXIMUM_RECONNECT_DELAY_MS,
} from '../src/wire/peer-link.js';
import { MAX_SILENCE_LIMIT_MS, SUSPECT_AFTER_SILENCE_MS } from '../src/wire/rpc-connection.js';

const PAGE = 'docs/design/time-budgets.md';

/** The shortest time that a deployment gives gateways to act by what was acknowledged. */
const OBEYED_MS = 2_000;
/** Senders of orders and heartbeats wait so long for one answer at least. */
const SENDER_PATIENCE_MS = 1_000;
/** The shortest time within which a deployment wants an order acknowledged. */
const ORDER_MS = 4_000;
/** The shortest time within which a deployment wants service again after a loss of everything. */
const RECOVERED_MS = 12_000;

/** The shortest bound from the acknowledgement of a revocation on, and the share of it for which calls are owed. */
const REVOKED_MS = 5_000;
const OWED_SHARE = 0.6;

/** Allowances for what has no constant: tens of times what they take on an idle machine. */
const ANSWER_MS = 100;
const HANDSHAKE_MS = 100;
const COMMIT_MS = 100;
const MEMBER_HANDSHAKE_MS = 50;
const PROCESS_START_MS = 800;
/** For so long new connections may be silent as well after open ones have gone silent for good. */
const NEW_CONNECTIONS_SILENT_MS = 1_400;

const timing = checkConsensusOptions(CONSENSUS_TIMING);
/** Election time-outs are spread over this many times the shortest one. */
const ELECTION_SPREAD = 2;
const LATEST_ELECTION_MS = timing.electionTimeoutMs * ELECTION_SPREAD;
const LATEST_STARTUP_ELECTION_MS = timing.startupElectionTimeoutMs * ELECTION_SPREAD;
const NOTICED_MS = Math.max(WATCH_TRY_TIMEOUT_MS, SUSPECT_AFTER_SILENCE_MS);

interface Budget {
  /** First column of its row on the page. */
  row: string;
  boundMs: number;
  parts: number[];
}

const BUDGETS: Budget[] = [
  { row: 'obeyed: nothing is wrong', boundMs: OBEYED_MS, parts: [WATCH_LONG_POLL_MS, ANSWER_MS] },
  {
    row: 'obeyed: connection silent for good',
    boundMs: OBEYED_MS,
    parts: [NOTICED_MS, HANDSHAKE_MS, ANSWER_MS],
  },
  {
    row: 'obeyed: new connections silent as well',
    boundMs: OBEYED_MS,
    parts: [NEW_CONNECTIONS_SILENT_MS, CONNECTION_ATTEMPT_DELAY_MS, HANDSHAKE_MS, ANSWER_MS],
  },
  {
    row: 'obeyed: leader was late before',
    boundMs: OBEYED_MS,
    parts: [MAX_SILENCE_LIMIT_MS, HANDSHAKE_MS, ANSWER_MS],
  },
  {
    row: 'obeyed: another member leads',
    boundMs: OBEYED_MS,
    parts: [NOTICED_MS, WATCH_MAXIMUM_PAUSE_MS, ANSWER_MS, ANSWER_MS],
  },
  {
    row: 'obeyed: leader silent for good',
    boundMs: OBEYED_MS,
    parts: [
      LEADER_OVERDUE_MS,
      MAX_MEMBER_POLL_INTERVAL_MS,
      COMMITTED_UPDATE_TIMEOUT_MS,
      MAX_MEMBER_POLL_INTERVAL_MS,
      COMMITTED_UPDATE_TIMEOUT_MS,
      MAX_MEMBER_POLL_INTERVAL_MS,
      ANSWER_MS,
    ],
  },
  {
    row: 'obeyed: connection reset',
    boundMs: OBEYED_MS,
    parts: [MAXIMUM_RECONNECT_DELAY_MS, HANDSHAKE_MS, WATCH_MAXIMUM_PAUSE_MS, ANSWER_MS, ANSWER_MS],
  },
  {
    row: 'acknowledged: drain, one answer',
    boundMs: REGISTRATION_TIMEOUT_MS,
    parts: [COMMIT_MS, BACKENDS_CONFIRM_MS],
  },
  {
    row: 'acknowledged: drain, its sender waits',
    boundMs: SENDER_PATIENCE_MS,
    parts: [REGISTRATION_TIMEOUT_MS, ANSWER_MS],
  },
  {
    row: 'acknowledged: configuration, one answer',
    boundMs: SENDER_PATIENCE_MS,
    parts: [COMMIT_MS, CONFIGURATION_CONFIRM_MS],
  },
  {
    row: 'acknowledged: configuration, leader lost',
    boundMs: OPERATOR_REQUEST_TIMEOUT_MS,
    parts: [
      LATEST_ELECTION_MS,
      VOTE_TIMEOUT_MS,
      DEFAULT_MAXIMUM_PAUSE_MS,
      COMMIT_MS,
      CONFIGURATION_CONFIRM_MS,
    ],
  },
  {
    row: 'acknowledged: configuration, sent again',
    boundMs: ORDER_MS,
    parts: [SENDER_PATIENCE_MS, OPERATOR_REQUEST_TIMEOUT_MS, ANSWER_MS],
  },
  {
    row: 'in touch: questions in a row',
    boundMs: GATEWAY_ACTIVE_WINDOW_MS,
    parts: [WATCH_LONG_POLL_MS, ANSWER_MS],
  },
  {
    row: 'in touch: a killed gateway',
    boundMs: CONFIGURATION_CONFIRM_MS,
    parts: [GATEWAY_ACTIVE_WINDOW_MS, ANSWER_MS],
  },
  { row: 'revoked: out of touch', boundMs: REVOKED_MS, parts: [keyLeaseMs(REVOKED_MS)] },
  {
    row: 'owed: a key out of touch',
    boundMs: keyLeaseMs(REVOKED_MS),
    parts: [
      REVOKED_MS * OWED_SHARE,
      WATCH_LONG_POLL_MS,
      timing.heartbeatIntervalMs,
      ANSWER_MS,
      ANSWER_MS,
    ],
  },
  {
    row: 'members: connection reset',
    boundMs: timing.disconnectTimeoutMs,
    parts: [INITIAL_RECONNECT_DELAY_MS, MEMBER_HANDSHAKE_MS, timing.heartbeatIntervalMs],
  },
  {
    row: 'restart: everything without power',
    boundMs: RECOVERED_MS,
    parts: [
      PROCESS_START_MS,
      CONNECT_TIMEOUT_MS,
      MAXIMUM_RECONNECT_DELAY_MS,
      LATEST_STARTUP_ELECTION_MS,
      VOTE_TIMEOUT_MS,
      WATCH_MAXIMUM_PAUSE_MS,
      ANSWER_MS,
      ANSWER_MS,
    ],
  },
];

function sumOf({ parts }: Budget): number {
  return parts.reduce((sum, part) => sum + part, 0);
}

describe('a budget of time', () => {
  for (const budget of BUDGETS) {
    it(`holds, ${budget.row}`, () => {
      expect(sumOf(budget)).toBeLessThanOrEqual(budget.boundMs);
    });
  }

  it('stands on its page with its bound and its sum', () => {
    const lines = readFileSync(PAGE, 'utf8').split('\n');
    for (const budget of BUDGETS) {
      const cells = lines.find((line) => line.includes(`| ${budget.row} `))?.split('|') ?? [];
      const shown = cells.map((cell) => cell.trim());
      expect(shown, budget.row).toContain(budget.boundMs.toLocaleString('en'));
      expect(shown, budget.row).toContain(sumOf(budget).toLocaleString('en'));
    }
  });
});
