/** A member whose log is gone while its identity and its snapshot are there. */
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
    groupName: GROUP,
    stateMachine: new ListMachine(),
    consensus: { heartbeatIntervalMs: 20, electionTimeoutMs: 60 },
    logQuotaBytes: undefined,
    isRetiring: () => false,
    onLeadershipChange: () => undefined,
    logger: createLogger({ test: 'lost-log' }),
    onFatal: (error) => expect.unreachable(String(error)),
  });
}

/** A client that reaches nobody: the member leads by itself. */
function createClient({ peers }: GroupMemberProcess): GroupClient {
  return new GroupClient({ peers, addresses: [] });
}

/** The only voter of its group, with a snapshot of what it committed. */
async function runUntilSnapshot(dataFolder: string, state: IdentityState): Promise<void> {
  const process = await openProcess(dataFolder);
  await process.listen();
  const { memberId } = process.identity.identity;
  await process.bootstrap({ members: [{ ...process.ownMember, role: 'voter' }] });
  await process.identity.save({ memberId, state, founders: [] });
  await process.joinGroup(createClient(process));
  const group = process.group!;
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
    await expect(process.joinGroup(createClient(process))).rejects.toBeInstanceOf(DamagedLogError);
  } finally {
    await process.stop();
  }
}

describe('a voter whose log is gone', () => {
  /**
   * A member that has voted and acknowledged entries must not take part without its log: it knows neither its term nor its
   * vote, and not what it acknowledged behind its snapshot. A start that adopts the snapshot where the log doesn't reach
   * it gives an empty log a last index, so that the check for a log that is gone passes: `lastIndex 3, term 0`.
   */
  it('refuses to take part where it founded the group and made a snapshot', async () => {
    await expectRefusedWithoutLog('member');
  });

  /**
   * A journal that came later stays in the state of one that joins, also once it is a voter, and the check for a log that is gone
   * asks for founders only.
   */
  it('refuses to take part where it came later', async () => {
    await expectRefusedWithoutLog('joining');
  });
});
