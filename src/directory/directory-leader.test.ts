/** What the directory's leader answers, over a group that commits at once. */
import { describe, expect, it, onTestFinished } from 'vitest';
import type { ReplicatedGroup } from '../consensus/index.js';
import { createLogger } from '../observability/index.js';
import type { RouteConfiguration } from '../routes/index.js';
import { DirectoryLeader } from './directory-leader.js';
import type { NodeRole, WatchRequest } from './messages.js';

class CommittingLeader {
  readonly proposals: Uint8Array[] = [];
  readonly leader = new DirectoryLeader({
    ledgerVoters: 3,
    heartbeatIntervalMs: 1_000,
    controlAddresses: () => [],
    logger: createLogger({}),
  });

  constructor() {
    const group = {
      isLeader: true,
      term: 1,
      leadingSince: 0,
      propose: (command: Uint8Array) => {
        this.proposals.push(command);
        return Promise.resolve(this.leader.stateMachine.apply(command, this.proposals.length));
      },
    };
    this.leader.attach(group as unknown as ReplicatedGroup);
    onTestFinished(() => this.leader.stop());
  }

  put(generation: number): Promise<void> {
    const configuration: RouteConfiguration = {
      generation,
      routes: [],
      services: [],
      limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    };
    return this.leader.putConfiguration({ configuration, source: `${generation}` });
  }
}

function watchOf(role: NodeRole): WatchRequest {
  return {
    node: { name: role, role, address: 'a:1', zone: 'z' },
    known: { configuration: 0, backends: '', cluster: '' },
    isUrgent: true,
    loads: [],
  };
}

describe('the directory leader', () => {
  it('commits a configuration once, however often it is sent, and none that was overtaken', async () => {
    const committing = new CommittingLeader();
    await committing.put(5);
    await committing.put(5);
    await committing.put(3);
    expect(committing.proposals).toHaveLength(1);
    expect(committing.leader.stateMachine.configurationSource).toBe('5');
    await committing.put(6);
    expect(committing.proposals).toHaveLength(2);
  });

  it('sends configurations and back ends to gateways only', async () => {
    const committing = new CommittingLeader();
    await committing.put(5);
    const forGateway = await committing.leader.watch(watchOf('gateway'));
    expect(forGateway.configuration?.configuration.generation).toBe(5);
    expect(forGateway.backends).toBeDefined();
    const forJournal = await committing.leader.watch(watchOf('journal'));
    expect(forJournal.cluster).toBeDefined();
    expect(forJournal.configuration).toBeUndefined();
    expect(forJournal.backends).toBeUndefined();
  });
});
