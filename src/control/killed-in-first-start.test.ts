/** Members that are all killed during the first start of the system, and come back without the permission to bootstrap. */
import { describe, expect, it, onTestFinished } from 'vitest';
import { temporaryFolder } from '../../tests/support/temporary-folder.js';
import { waitUntil } from '../../tests/support/wait-until.js';
import { sleep } from '../common/index.js';
import type { PeerCaller } from '../consensus/index.js';
import { createLogger } from '../observability/index.js';
import { discoverCluster } from './cluster-formation.js';
import { type Identity, IdentityStore } from './identity.js';

const NAMES = ['a', 'b', 'c'];
const MEMBERS = NAMES.map((name) => ({ name, address: name, zone: '', region: '' }));
/** Several intervals in which members probe each other, in milliseconds. */
const WATCH_MS = 400;

/** Processes of three members that probe each other in memory. */
class Core {
  private readonly folders = new Map(NAMES.map((name) => [name, temporaryFolder()]));
  private readonly running = new Map<string, { identity: IdentityStore; end: AbortController }>();

  async start(name: string, firstSeeds?: readonly string[], seeds = MEMBERS): Promise<void> {
    const identity = await IdentityStore.open(this.folders.get(name)!, name, firstSeeds);
    const end = new AbortController();
    this.running.set(name, { identity, end });
    void discoverCluster({
      ownName: name,
      members: seeds,
      identity,
      peers: this.peers,
      logger: createLogger({}),
      signal: end.signal,
      mayBootstrap: 'first-start',
    });
  }

  kill(name: string): void {
    this.running.get(name)?.end.abort();
    this.running.delete(name);
  }

  /** Replaces the disk of a member that is not running by an empty one. */
  wipe(name: string): void {
    this.folders.set(name, temporaryFolder());
  }

  stateOf(name: string): Identity['state'] | undefined {
    return this.running.get(name)?.identity.identity.state;
  }

  /** The founders according to each running member. */
  get founders(): string[] {
    return [...this.running.values()].map(({ identity }) =>
      identity.identity.founders.map(({ id }) => id).join(),
    );
  }

  stop(): void {
    for (const name of NAMES) this.kill(name);
  }

  private get peers(): PeerCaller {
    return {
      isConnected: () => true,
      call: async <_Request, Response>(address: string): Promise<Response> => {
        const found = this.running.get(address);
        if (!found) throw new Error('not running');
        return found.identity.identity as Response;
      },
    };
  }
}

function newCore(): Core {
  const core = new Core();
  onTestFinished(() => core.stop());
  return core;
}

async function expectFounded(core: Core): Promise<void> {
  await waitUntil('founded', () => NAMES.every((name) => core.stateOf(name) === 'founding'));
  expect(new Set(core.founders).size).toBe(1);
}

// Guards against a system that never serves since its first start was interrupted.
describe('members that were killed in the first start', () => {
  it('found the cluster when they are back', async () => {
    const core = newCore();
    // Each of them is alone, so that none can found the cluster.
    for (const name of NAMES) {
      await core.start(name, NAMES);
      core.kill(name);
    }
    for (const name of NAMES) await core.start(name);
    await expectFounded(core);
  });

  it('found the cluster with a member that comes back with an empty disk', async () => {
    const core = newCore();
    for (const name of NAMES) {
      await core.start(name, NAMES);
      core.kill(name);
    }
    core.wipe('c');
    for (const name of NAMES) await core.start(name);
    await expectFounded(core);
  });

  it('join the founders that have decided before', async () => {
    const core = newCore();
    for (const name of NAMES) await core.start(name, NAMES);
    await waitUntil('one founds', () => NAMES.some((name) => core.stateOf(name) === 'founding'));
    core.stop();
    for (const name of NAMES) await core.start(name);
    await expectFounded(core);
  });
});

describe('members with empty disks', () => {
  it('never found a cluster if a majority does not remember the first start', async () => {
    const core = newCore();
    await core.start('a', NAMES);
    core.kill('a');
    for (const name of NAMES) await core.start(name);
    await sleep(WATCH_MS);
    expect(NAMES.map((name) => core.stateOf(name))).toEqual(['new', 'new', 'new']);
  });

  it('never found a cluster with other members than those of the first start', async () => {
    const core = newCore();
    for (const name of NAMES) await core.start(name, ['a', 'b', 'd']);
    await sleep(WATCH_MS);
    expect(NAMES.map((name) => core.stateOf(name))).toEqual(['new', 'new', 'new']);
  });
});
