/**
 * Process with one ledger member, for measuring the ledger without a directory and gateways.
 *
 *     node ledger-host.js SETTINGS
 *
 * SETTINGS is a JSON object of type `LedgerHostSettings`. For each line `usage` on standard input, the
 * process writes a `LedgerHostUsage` as one line of JSON. It exits at the end of standard input.
 */
import { mkdir, writeFile } from 'node:fs/promises';
import { type PerformanceEntry, PerformanceObserver, constants } from 'node:perf_hooks';
import { createInterface } from 'node:readline';
import { join } from 'node:path';
import { GroupClient, type Member } from '../../src/consensus/index.js';
import type { Identity } from '../../src/control/identity.js';
import {
  LEDGER_GROUP,
  LedgerService,
  LedgerStateMachine,
  READ_TURNS,
  registerLedgerHandlers,
} from '../../src/ledger/index.js';
import { GroupMemberProcess } from '../../src/nodes/group-member-process.js';
import { CONSENSUS_TIMING } from '../../src/nodes/node-settings.js';
import { ValueStore, openStoreFolder } from '../../src/value-store/index.js';
import { SILENT_LOGGER } from '../silent-logger.js';

export interface LedgerHostSettings {
  member: Member;
  founders: Member[];
  folder: string;
  secret: string;
  toleratedLosses: number;
}

export interface LedgerHostUsage {
  leads: boolean;
  /** Processor time so far, in milliseconds. */
  processorMs: number;
  /** Bytes of log entries sent to voters so far. */
  voterBytes: number;
  logSyncs: number;
  /** Minor and other garbage collections so far, and the main thread's time in them, in milliseconds. */
  collections: CollectionStats;
}

export interface CollectionStats {
  young: number;
  youngMs: number;
  whole: number;
  wholeMs: number;
}

const READ_TIMEOUTS = { connectMs: 500, timeoutMs: 2_000 };

function throwError(error: unknown): never {
  throw error;
}

/** Writes an identity that lists all founding members, so that the group needs no directory to bootstrap. */
async function writeIdentity({ member, founders, folder }: LedgerHostSettings): Promise<void> {
  await mkdir(folder, { recursive: true });
  const identity: Identity = { memberId: member.id, state: 'member', founders };
  await writeFile(join(folder, 'identity.json'), JSON.stringify(identity));
}

async function startMember(settings: LedgerHostSettings): Promise<GroupMemberProcess> {
  const { member, founders, folder, secret, toleratedLosses } = settings;
  await writeIdentity(settings);
  const values = await ValueStore.open({
    folder: await openStoreFolder(join(folder, 'values')),
    logger: SILENT_LOGGER,
    onFatal: throwError,
  });
  const stateMachine = new LedgerStateMachine({
    values,
    readTurnsAt: (address, request) =>
      host.peers.callWhenConnected(address, READ_TURNS, request, READ_TIMEOUTS),
    logger: SILENT_LOGGER,
  });
  const host: GroupMemberProcess = await GroupMemberProcess.open({
    settings: {
      name: member.name,
      zone: 'zone',
      internalAddress: member.address,
      controlSeeds: [],
      isFirstStart: true,
      dataFolder: folder,
      toleratedLosses,
      heartbeatIntervalMs: 1_000,
      secret,
    },
    consensus: CONSENSUS_TIMING,
    logQuotaBytes: undefined,
    isRetiring: () => false,
    onLeadershipChange: () => undefined,
    logger: SILENT_LOGGER,
    onFatal: throwError,
  });
  const service = new LedgerService({
    peers: host.peers,
    stateMachine,
    findGroup: () => host.find(LEDGER_GROUP),
    isUnderMemoryPressure: () => false,
  });
  registerLedgerHandlers(host.router, () => service);
  await host.listen();
  await host.bootstrap(LEDGER_GROUP, { members: founders });
  const addresses = founders.map(({ address }) => address);
  const client = new GroupClient({ peers: host.peers, addresses });
  await host.joinGroups([{ name: LEDGER_GROUP, stateMachine, client }]);
  return host;
}

function readUsage(member: GroupMemberProcess): LedgerHostUsage {
  const group = member.find(LEDGER_GROUP);
  const { user, system } = process.cpuUsage();
  return {
    leads: group?.isLeader ?? false,
    processorMs: (user + system) / 1_000,
    voterBytes: group?.traffic.voterEntries ?? 0,
    collections,
    logSyncs: group?.times.ownSync.readAndReset().count ?? 0,
  };
}

const collections: CollectionStats = { young: 0, youngMs: 0, whole: 0, wholeMs: 0 };
new PerformanceObserver((list) => {
  for (const entry of list.getEntries()) {
    const { duration } = entry;
    const { kind } = (entry as PerformanceEntry & { detail: { kind: number } }).detail;
    const isYoung = kind === constants.NODE_PERFORMANCE_GC_MINOR;
    collections[isYoung ? 'young' : 'whole'] += 1;
    collections[isYoung ? 'youngMs' : 'wholeMs'] += duration;
  }
}).observe({ entryTypes: ['gc'] });

const host = await startMember(JSON.parse(process.argv[2]!) as LedgerHostSettings);
console.log('ready');
for await (const line of createInterface({ input: process.stdin })) {
  if (line === 'usage') console.log(JSON.stringify(readUsage(host)));
}
process.exit(0);
