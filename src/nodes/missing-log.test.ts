/** A member that lost its log but not its identity and snapshot must not take part in its group. */
import { rmSync } from 'node:fs';
import { join } from 'node:path';
import { describe, expect, it } from 'vitest';
import { ListMachine } from '../../tests/support/consensus-cluster.js';
import { temporaryFolder } from '../../tests/support/temporary-folder.js';
import { waitUntil } from '../../tests/support/wait-until.js';
import { GroupClient } from '../consensus/index.js';
import type { IdentityState } from '../control/identity.js';
import { DamagedLogError } from '../log-store/index.js';
import { createLogger } from '../observability/index.js';
import { encodeValue } from '../wire/index.js';
import { GroupMemberProcess } from './group-member-process.js';

const GROUP = 'g';
const INTERNAL_ADDRESS = '127.0.0.1:0';

function openProcess(dataFolder: string): Promise<GroupMemberProcess> {
  return GroupMemberProcess.open({
    settings: {
      name: 'member',
      zone: 'zone',
      internalAddress: INTERNAL_ADDRESS,
      controlSeeds: [],
      isFirstStart: true,
      dataFolder,
      toleratedLosses: 0,
      heartbeatIntervalMs: 100,
      secret: 'secret',
    },
    consensus: { heartbeatIntervalMs: 20, electionTimeoutMs: 60 },
    logQuotaBytes: undefined,
    isRetiring: () => false,
    onLeadershipChange: () => undefined,
    logger: createLogger({ test: 'lost-log' }),
    onFatal: (error) => expect.unreachable(String(error)),
  });
}

/** Joins with a client without addresses, since the member is the only one of its group. */
function joinGroup(process: GroupMemberProcess): Promise<void> {
  const client = new GroupClient({ peers: process.peers, addresses: [] });
  return process.joinGroups([{ name: GROUP, stateMachine: new ListMachine(), client }]);
}

/** Runs the only voter of a group until it has made a snapshot of a committed entry. */
async function runUntilSnapshot(dataFolder: string, state: IdentityState): Promise<void> {
  const process = await openProcess(dataFolder);
  await process.listen();
  const { memberId } = process.identity.identity;
  await process.bootstrap(GROUP, { members: [{ ...process.ownMember, role: 'voter' }] });
  await process.identity.save({ memberId, state, founders: [] });
  await joinGroup(process);
  const group = process.find(GROUP)!;
  await waitUntil('leads', () => group.isCurrentLeader);
  await group.propose(encodeValue('item'));
  group.applier.requestSnapshot();
  await waitUntil('snapshot made', () => group.log.compactedTo.index > 0);
  await process.stop();
}

async function expectRefusedWithoutLog(state: IdentityState): Promise<void> {
  const dataFolder = temporaryFolder();
  await runUntilSnapshot(dataFolder, state);
  rmSync(join(dataFolder, 'log'), { recursive: true });
  const process = await openProcess(dataFolder);
  await process.listen();
  try {
    await expect(joinGroup(process)).rejects.toBeInstanceOf(DamagedLogError);
  } finally {
    await process.stop();
  }
}

describe('a voter whose log is missing', () => {
  /**
   * Without its log, a member does not know its term, its vote and the entries acknowledged after the snapshot. The
   * last index that an empty log adopts from the snapshot must not be taken for that of an existing log.
   */
  it('does not join if it founded the group and made a snapshot', async () => {
    await expectRefusedWithoutLog('member');
  });

  /**
   * A member that was added later stays in state `joining`, also as a voter, and must be checked like a founder.
   */
  it('does not join if it was added to the group later', async () => {
    await expectRefusedWithoutLog('joining');
  });
});
