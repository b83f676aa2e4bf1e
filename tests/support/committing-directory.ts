/** A directory leader on a group that commits immediately, for tests of its responses. */
import { onTestFinished } from 'vitest';
import type { ReplicatedGroup } from '../../src/consensus/index.js';
import { DirectoryLeader } from '../../src/directory/index.js';
import { packConfiguration } from '../../src/directory/packed-configuration.js';
import { createLogger } from '../../src/observability/index.js';
import { emptyConfiguration } from './directory-samples.js';

export interface CommittingDirectoryOptions {
  /** Members that apply each entry when it is committed. @default none */
  followers?: CommittingDirectory[];
  /** Address of the leader, for a follower. @default this member leads */
  leaderAddress?: () => string;
}

export class CommittingDirectory {
  readonly proposals: Uint8Array[] = [];
  readonly leader = new DirectoryLeader({
    ledgerVoters: 3,
    heartbeatIntervalMs: 1_000,
    controlAddresses: () => [],
    logger: createLogger({}),
  });
  readonly group: ReplicatedGroup;

  constructor(private readonly options: CommittingDirectoryOptions = {}) {
    const { leaderAddress } = options;
    const group = {
      isLeader: leaderAddress === undefined,
      isCurrentLeader: leaderAddress === undefined,
      get leaderAddress() {
        return leaderAddress?.();
      },
      term: 1,
      leadingSince: 0,
      quorumContactMs: () => performance.now(),
      propose: (command: Uint8Array) => Promise.resolve(this.commit(command)),
    };
    this.group = group as unknown as ReplicatedGroup;
    this.leader.attach(this.group);
    onTestFinished(() => this.leader.stop());
  }

  private commit(command: Uint8Array): unknown {
    this.proposals.push(command);
    for (const follower of this.options.followers ?? []) follower.commit(command);
    return this.leader.stateMachine.apply(command, this.proposals.length);
  }

  put(generation: number): Promise<void> {
    return this.leader.putConfiguration(
      packConfiguration(emptyConfiguration(generation), `${generation}`),
    );
  }
}
