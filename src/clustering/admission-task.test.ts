/** Rate at which a process announces itself to its group's leader. */
import { describe, expect, it } from 'vitest';
import { LoopbackNetwork } from '../../tests/support/loopback-network.js';
import { sleep } from '../common/index.js';
import { GroupClient, type Member, type ReplicatedGroup } from '../consensus/index.js';
import { MethodRouter } from '../wire/index.js';
import { runAdmissionTask } from './admission-task.js';
import { REQUEST_ADMISSION } from './messages.js';

const LEADER = 'leader';
const OBSERVATION_MS = 1_000;
const MEMBER: Member = { id: 'm4-first', name: 'm4', address: 'm4', role: 'learner' };

/** Admission requests that a process sends within a second, for a group with these members. */
async function countRequests(members: Member[]): Promise<number> {
  const network = new LoopbackNetwork();
  const router = new MethodRouter();
  let received = 0;
  router.handle(REQUEST_ADMISSION, () => {
    received += 1;
    return { leads: true };
  });
  network.listen(LEADER, router);
  const client = new GroupClient({ peers: network.peersOf('m4'), addresses: [LEADER] });
  const group = { name: 'g', isLeader: false, configuration: { members } } as ReplicatedGroup;
  const stopping = new AbortController();
  const task = runAdmissionTask({ group, member: MEMBER, client, signal: stopping.signal });
  await sleep(OBSERVATION_MS);
  stopping.abort();
  await task;
  return received;
}

describe('a process', () => {
  it('that is a voter or a learner announces itself once a second', async () => {
    expect(await countRequests([MEMBER])).toBeLessThanOrEqual(2);
    expect(await countRequests([{ ...MEMBER, role: 'voter' }])).toBeLessThanOrEqual(2);
  });

  it('that is not a member yet retries at a shorter interval', async () => {
    expect(await countRequests([])).toBeGreaterThanOrEqual(4);
  });
});
