/** A directory's leader over a group that commits at once, for tests of what it answers. */
import { onTestFinished } from 'vitest';
import type { ReplicatedGroup } from '../../src/consensus/index.js';
import { DirectoryLeader } from '../../src/directory/index.js';
import { packConfiguration } from '../../src/directory/packed-configuration.js';
import { createLogger } from '../../src/observability/index.js';
import { emptyConfiguration } from './directory-samples.js';

export class CommittingDirectory {
  readonly proposals: Uint8Array[] = [];
  readonly leader = new DirectoryLeader({
    ledgerVoters: 3,
    heartbeatIntervalMs: 1_000,
    controlAddresses: () => [],
    logger: createLogger({}),
  });
  readonly group: ReplicatedGroup;

  constructor() {
    const group = {
      isLeader: true,
      isCurrentLeader: true,
      term: 1,
      leadingSince: 0,
      propose: (command: Uint8Array) => {
        this.proposals.push(command);
        return Promise.resolve(this.leader.stateMachine.apply(command, this.proposals.length));
      },
    };
    this.group = group as unknown as ReplicatedGroup;
    this.leader.attach(this.group);
    onTestFinished(() => this.leader.stop());
  }

  put(generation: number): Promise<void> {
    return this.leader.putConfiguration(
      packConfiguration(emptyConfiguration(generation), `${generation}`),
    );
  }
}
