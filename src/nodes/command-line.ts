/** Command line of the processes of a deployment; see `--help`. */
import { cac } from 'cac';
import type { NodeRole } from '../directory/index.js';
import { MAX_LEDGER_GROUPS } from '../ledger/ledger-groups.js';

const EXIT_USAGE = 2;
const ROLES: readonly NodeRole[] = ['gateway', 'control', 'journal'];

/** The command line of a process of a deployment. */
export interface CommandLine {
  role: NodeRole;
  /** Port of the status server, which is not started without it. */
  metricsPort?: number;
  /** `host:port` to listen on for other processes, if it differs from the announced address. */
  listenAddress?: string;
  /** Number of ledger groups that a control process founds; undefined to choose it. */
  ledgerGroups?: number;
  /** Whether to log what the processor is used for. */
  hasProfile: boolean;
}

const USAGE =
  'gateway|control|journal [--metrics-port PORT] [--listen HOST:PORT] [--ledger-groups N] [--profile]';

/** Reads the command line; ends the process after `--help`, and with exit code 2 if the line is invalid. */
export function readCommandLine(): CommandLine {
  const program = cac('ledgegauge-platform');
  program.usage(USAGE);
  program.option('--metrics-port <port>', 'Serve /metrics, /healthz and /readyz on this port');
  program.option(
    '--listen <host:port>',
    'Listen on this address behind a relay; other processes use the address in the settings',
  );
  program.option(
    '--ledger-groups <n>',
    'Ledger groups that a control process founds at the first start of the system (default: by the number of journal processes)',
  );
  program.option('--profile', 'Log every 5 s what the processor is used for');
  program.help();
  const { args, options } = program.parse();
  const [role] = args;
  const metricsPort = options.metricsPort === undefined ? undefined : Number(options.metricsPort);
  const listenAddress: string | undefined = options.listen;
  const isAddress = listenAddress === undefined || /^[^:]+:\d+$/.test(listenAddress);
  const ledgerGroups =
    options.ledgerGroups === undefined ? undefined : Number(options.ledgerGroups);
  const isValid =
    isRole(role) &&
    args.length === 1 &&
    isAddress &&
    !Number.isNaN(metricsPort ?? 0) &&
    isGroupCount(ledgerGroups);
  if (options.help) process.exit(0);
  if (!isValid) {
    process.stderr.write(`usage: ${USAGE}\n`);
    process.exit(EXIT_USAGE);
  }
  return { role, metricsPort, listenAddress, ledgerGroups, hasProfile: options.profile === true };
}

function isGroupCount(count = 1): boolean {
  return Number.isInteger(count) && count >= 1 && count <= MAX_LEDGER_GROUPS;
}

function isRole(name: string | undefined): name is NodeRole {
  return ROLES.includes(name as NodeRole);
}
