/**
 * Guards against timeouts that are valid individually but together exceed a guaranteed time bound;
 * docs/design/time-budgets.md explains the rows.
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

/** Shortest bound of a deployment for gateways to apply acknowledged changes, in milliseconds. */
const CHANGE_APPLIED_BOUND_MS = 2_000;
/** Minimum time for which senders of requests and heartbeats wait for a response, in milliseconds. */
const SENDER_TIMEOUT_MS = 1_000;
/** Shortest bound of a deployment for the acknowledgement of an operator request, in milliseconds. */
const REQUEST_ACKNOWLEDGED_BOUND_MS = 4_000;
/** Shortest bound of a deployment for the recovery from a failure of all machines, in milliseconds. */
const RECOVERY_BOUND_MS = 12_000;

/** Shortest bound from the acknowledgement of a key revocation until it is applied, in milliseconds. */
const REVOCATION_BOUND_MS = 5_000;
/** Fraction of the revocation bound for which a partitioned gateway must accept known keys. */
const KEY_VALID_FRACTION = 0.6;

/** Generous allowances for steps that have no timeout constant, in milliseconds. */
const RESPONSE_ALLOWANCE_MS = 100;
const HANDSHAKE_ALLOWANCE_MS = 100;
const COMMIT_ALLOWANCE_MS = 100;
const MEMBER_HANDSHAKE_ALLOWANCE_MS = 50;
const PROCESS_START_ALLOWANCE_MS = 800;
/** Maximum time for which new connections are silent after open ones went silent, in milliseconds. */
const NEW_CONNECTIONS_SILENT_MS = 1_400;

const timing = checkConsensusOptions(CONSENSUS_TIMING);
/** Ratio of the maximum to the minimum election timeout. */
const ELECTION_SPREAD = 2;
const MAX_ELECTION_TIMEOUT_MS = timing.electionTimeoutMs * ELECTION_SPREAD;
const MAX_STARTUP_ELECTION_TIMEOUT_MS = timing.startupElectionTimeoutMs * ELECTION_SPREAD;
const SILENCE_DETECTION_MS = Math.max(WATCH_TRY_TIMEOUT_MS, SUSPECT_AFTER_SILENCE_MS);

interface Budget {
  /** First column of its row in the document. */
  row: string;
  boundMs: number;
  parts: number[];
}

const BUDGETS: Budget[] = [
  {
    row: 'obeyed: nothing is wrong',
    boundMs: CHANGE_APPLIED_BOUND_MS,
    parts: [WATCH_LONG_POLL_MS, RESPONSE_ALLOWANCE_MS],
  },
  {
    row: 'obeyed: connection silent for good',
    boundMs: CHANGE_APPLIED_BOUND_MS,
    parts: [SILENCE_DETECTION_MS, HANDSHAKE_ALLOWANCE_MS, RESPONSE_ALLOWANCE_MS],
  },
  {
    row: 'obeyed: new connections silent as well',
    boundMs: CHANGE_APPLIED_BOUND_MS,
    parts: [
      NEW_CONNECTIONS_SILENT_MS,
      CONNECTION_ATTEMPT_DELAY_MS,
      HANDSHAKE_ALLOWANCE_MS,
      RESPONSE_ALLOWANCE_MS,
    ],
  },
  {
    row: 'obeyed: leader was late before',
    boundMs: CHANGE_APPLIED_BOUND_MS,
    parts: [MAX_SILENCE_LIMIT_MS, HANDSHAKE_ALLOWANCE_MS, RESPONSE_ALLOWANCE_MS],
  },
  {
    row: 'obeyed: another member leads',
    boundMs: CHANGE_APPLIED_BOUND_MS,
    parts: [
      SILENCE_DETECTION_MS,
      WATCH_MAXIMUM_PAUSE_MS,
      RESPONSE_ALLOWANCE_MS,
      RESPONSE_ALLOWANCE_MS,
    ],
  },
  {
    row: 'obeyed: leader silent for good',
    boundMs: CHANGE_APPLIED_BOUND_MS,
    parts: [
      LEADER_OVERDUE_MS,
      MAX_MEMBER_POLL_INTERVAL_MS,
      COMMITTED_UPDATE_TIMEOUT_MS,
      MAX_MEMBER_POLL_INTERVAL_MS,
      COMMITTED_UPDATE_TIMEOUT_MS,
      MAX_MEMBER_POLL_INTERVAL_MS,
      RESPONSE_ALLOWANCE_MS,
    ],
  },
  {
    row: 'obeyed: connection reset',
    boundMs: CHANGE_APPLIED_BOUND_MS,
    parts: [
      MAXIMUM_RECONNECT_DELAY_MS,
      HANDSHAKE_ALLOWANCE_MS,
      WATCH_MAXIMUM_PAUSE_MS,
      RESPONSE_ALLOWANCE_MS,
      RESPONSE_ALLOWANCE_MS,
    ],
  },
  {
    row: 'acknowledged: drain, one answer',
    boundMs: REGISTRATION_TIMEOUT_MS,
    parts: [COMMIT_ALLOWANCE_MS, BACKENDS_CONFIRM_MS],
  },
  {
    row: 'acknowledged: drain, its sender waits',
    boundMs: SENDER_TIMEOUT_MS,
    parts: [REGISTRATION_TIMEOUT_MS, RESPONSE_ALLOWANCE_MS],
  },
  {
    row: 'acknowledged: configuration, one answer',
    boundMs: SENDER_TIMEOUT_MS,
    parts: [COMMIT_ALLOWANCE_MS, CONFIGURATION_CONFIRM_MS],
  },
  {
    row: 'acknowledged: configuration, leader lost',
    boundMs: OPERATOR_REQUEST_TIMEOUT_MS,
    parts: [
      MAX_ELECTION_TIMEOUT_MS,
      VOTE_TIMEOUT_MS,
      DEFAULT_MAXIMUM_PAUSE_MS,
      COMMIT_ALLOWANCE_MS,
      CONFIGURATION_CONFIRM_MS,
    ],
  },
  {
    row: 'acknowledged: configuration, sent again',
    boundMs: REQUEST_ACKNOWLEDGED_BOUND_MS,
    parts: [SENDER_TIMEOUT_MS, OPERATOR_REQUEST_TIMEOUT_MS, RESPONSE_ALLOWANCE_MS],
  },
  {
    row: 'in touch: questions in a row',
    boundMs: GATEWAY_ACTIVE_WINDOW_MS,
    parts: [WATCH_LONG_POLL_MS, RESPONSE_ALLOWANCE_MS],
  },
  {
    row: 'in touch: a killed gateway',
    boundMs: CONFIGURATION_CONFIRM_MS,
    parts: [GATEWAY_ACTIVE_WINDOW_MS, RESPONSE_ALLOWANCE_MS],
  },
  {
    row: 'revoked: out of touch',
    boundMs: REVOCATION_BOUND_MS,
    parts: [keyLeaseMs(REVOCATION_BOUND_MS)],
  },
  {
    row: 'owed: a key out of touch',
    boundMs: keyLeaseMs(REVOCATION_BOUND_MS),
    parts: [
      REVOCATION_BOUND_MS * KEY_VALID_FRACTION,
      WATCH_LONG_POLL_MS,
      timing.heartbeatIntervalMs,
      RESPONSE_ALLOWANCE_MS,
      RESPONSE_ALLOWANCE_MS,
    ],
  },
  {
    row: 'members: connection reset',
    boundMs: timing.disconnectTimeoutMs,
    parts: [INITIAL_RECONNECT_DELAY_MS, MEMBER_HANDSHAKE_ALLOWANCE_MS, timing.heartbeatIntervalMs],
  },
  {
    row: 'restart: everything without power',
    boundMs: RECOVERY_BOUND_MS,
    parts: [
      PROCESS_START_ALLOWANCE_MS,
      CONNECT_TIMEOUT_MS,
      MAXIMUM_RECONNECT_DELAY_MS,
      MAX_STARTUP_ELECTION_TIMEOUT_MS,
      VOTE_TIMEOUT_MS,
      WATCH_MAXIMUM_PAUSE_MS,
      RESPONSE_ALLOWANCE_MS,
      RESPONSE_ALLOWANCE_MS,
    ],
  },
];

function totalMs({ parts }: Budget): number {
  return parts.reduce((sum, part) => sum + part, 0);
}

describe('a time budget', () => {
  for (const budget of BUDGETS) {
    it(`holds, ${budget.row}`, () => {
      expect(totalMs(budget)).toBeLessThanOrEqual(budget.boundMs);
    });
  }

  it('is documented with its bound and its sum', () => {
    const lines = readFileSync(PAGE, 'utf8').split('\n');
    for (const budget of BUDGETS) {
      const cells = lines.find((line) => line.includes(`| ${budget.row} `))?.split('|') ?? [];
      const values = cells.map((cell) => cell.trim());
      expect(values, budget.row).toContain(budget.boundMs.toLocaleString('en'));
      expect(values, budget.row).toContain(totalMs(budget).toLocaleString('en'));
    }
  });
});
