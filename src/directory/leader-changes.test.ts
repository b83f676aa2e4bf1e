/** A watcher's view of the backends while leaders change, responses are lost and other members are polled. */
import { expect, it, onTestFinished } from 'vitest';
import { sampleRegistration } from '../../tests/support/directory-samples.js';
import { waitUntil } from '../../tests/support/wait-until.js';
import { sleep } from '../common/index.js';
import { SeededRandom } from '../common/random.js';
import type { ReplicatedGroup } from '../consensus/index.js';
import { createLogger } from '../observability/index.js';
import type { BackendRegistration } from './backend-registration.js';
import type { DirectoryClient } from './directory-client.js';
import { DirectoryLeader } from './directory-leader.js';
import { DirectoryWatcher } from './directory-watcher.js';
import type { CommittedUpdateRequest, WatchRequest } from './messages.js';

const MEMBERS = 3;
const NAMES = 20;
const STEPS = 250;
const STEP_MS = 4;
const LEADER_CHANGE_PROBABILITY = 0.04;
const LOSS_PROBABILITY = 0.2;
const SEEDS = [1, 2, 3, 4];

class Member {
  readonly directory = new DirectoryLeader({
    ledgerVoters: 3,
    heartbeatIntervalMs: 60_000,
    controlAddresses: () => [],
    logger: createLogger({}),
  });
  readonly group = {
    isLeader: false,
    term: 0,
    leadingSince: 0,
    quorumContactMs: () => performance.now(),
    propose: (command: Uint8Array) => Promise.resolve(this.commit(command)),
  };
  private appliedIndex = 0;

  constructor(
    private readonly log: Uint8Array[],
    private readonly onCommitted: (member: Member) => void,
  ) {
    this.directory.attach(this.group as unknown as ReplicatedGroup);
    onTestFinished(() => this.directory.stop());
  }

  get backends(): BackendRegistration[] {
    return [...this.directory.stateMachine.backends.values()];
  }

  setTerm(term: number, isLeader: boolean): void {
    if (isLeader) this.applyUpTo(this.log.length);
    Object.assign(this.group, { term, isLeader });
    this.directory.onLeadershipChange();
  }

  applyUpTo(index: number): void {
    for (; this.appliedIndex < index; this.appliedIndex += 1) {
      this.directory.stateMachine.apply(this.log[this.appliedIndex]!, this.appliedIndex + 1);
    }
  }

  applyNext(): void {
    this.applyUpTo(Math.min(this.log.length, this.appliedIndex + 1));
  }

  private commit(command: Uint8Array): void {
    this.log.push(command);
    this.applyUpTo(this.log.length);
    this.onCommitted(this);
  }
}

/** Members that share a log: one leads, the others lag. */
class Members {
  /** All states that the backends have had. */
  readonly states = new Set([textOf([])]);
  leader: Member;
  private readonly log: Uint8Array[] = [];
  private readonly all: Member[];
  private term = 0;

  constructor(private readonly random: SeededRandom) {
    const recordState = (member: Member): void => void this.states.add(textOf(member.backends));
    this.all = Array.from({ length: MEMBERS }, () => new Member(this.log, recordState));
    this.leader = this.all[0]!;
    this.changeLeader();
  }

  any(): Member {
    return this.random.pick(this.all);
  }

  changeLeader(): void {
    this.leader = this.any();
    this.term += 1;
    for (const member of this.all) member.setTerm(this.term, member === this.leader);
  }

  async step(sequence: number): Promise<void> {
    if (this.random.chance(LEADER_CHANGE_PROBABILITY)) this.changeLeader();
    this.any().applyNext();
    const number = this.random.integer(1, NAMES);
    const name = `i-${number}`;
    if (this.random.chance(0.3)) {
      void this.leader.directory.removeBackend({ name });
      return;
    }
    const registration = { startedAt: sequence, address: `127.0.0.1:${number}`, sequence };
    await this.leader.directory.recordHeartbeat(sampleRegistration({ name, ...registration }));
  }
}

function textOf(backends: readonly BackendRegistration[]): string {
  const lines = backends.map(({ id, address }) => `${id} ${address}`);
  return lines.sort().join('\n');
}

/** Client whose responses may be lost and that also reads from members that do not lead. */
function clientOf(members: Members, random: SeededRandom): DirectoryClient {
  const loseSome = <Response>(response: Response): Response => {
    if (random.chance(LOSS_PROBABILITY)) throw new Error('response lost');
    return response;
  };
  const client = {
    watch: async (request: WatchRequest) => loseSome(await members.leader.directory.watch(request)),
    fetchCommittedUpdate: async (held: CommittedUpdateRequest) =>
      loseSome(members.any().directory.stateMachine.committedUpdateSince(held)),
  };
  return client as unknown as DirectoryClient;
}

it.each(SEEDS)(
  'holds only past states and converges on the last one, with seed %d',
  async (seed) => {
    const random = new SeededRandom(seed);
    const members = new Members(random);
    let held = '';
    const unknown: string[] = [];
    const watcher = new DirectoryWatcher({
      client: clientOf(members, random),
      announce: () => ({ name: 'gateway-1', role: 'gateway', address: 'g:1', zone: 'z' }),
      logger: createLogger({}),
      onBackends: (records) => {
        held = textOf(records);
        if (!members.states.has(held)) unknown.push(held);
      },
    });
    watcher.start();
    onTestFinished(() => watcher.stop());
    for (let step = 1; step <= STEPS; step += 1) {
      await members.step(step);
      await sleep(STEP_MS);
    }
    members.changeLeader();
    await waitUntil('the last state held', () => held === textOf(members.leader.backends));
    expect(unknown).toEqual([]);
  },
);
