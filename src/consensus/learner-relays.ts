/**
 * Replication from voters to learners. Each voter relays committed entries to the learners assigned
 * to it, so that the leader, whose link limits commits, sends entries to voters only.
 *
 * Committed entries are in the log of every leader of this and later terms. A relay can therefore
 * send them on behalf of the current leader.
 */
import type { LogEntry } from '../log-store/index.js';
import type { CallOptions, Method } from '../wire/index.js';
import { type GroupConfiguration, type Member, isVoter, votersOf } from './configuration.js';
import type { MemberLog } from './member-log.js';
import type { ReplicationTraffic } from './replication-traffic.js';
import { type ReplicatedLog, type ReplicationSource, Replicator } from './replicator.js';

/** What relays need from their member. */
export interface RelayingMember {
  readonly group: string;
  readonly ownId: string;
  readonly isFollower: boolean;
  readonly leaderId: string | undefined;
  readonly term: number;
  readonly commitIndex: number;
  readonly log: MemberLog;
  readonly configuration: GroupConfiguration;
  readonly heartbeatIntervalMs: number;
  readonly traffic: ReplicationTraffic;
  call<Request, Response>(
    member: Member,
    method: Method<Request, Response>,
    request: Request,
    options: CallOptions,
  ): Promise<Response>;
}

/**
 * The voter that relays entries to a learner. All members with the same configuration agree on it.
 */
export function relayOf(
  configuration: GroupConfiguration,
  leaderId: string,
  learnerId: string,
): Member | undefined {
  const byId = (left: Member, right: Member): number => (left.id < right.id ? -1 : 1);
  const learners = configuration.members.filter(({ role }) => role === 'learner').sort(byId);
  const position = learners.findIndex(({ id }) => id === learnerId);
  const voters = votersOf(configuration)
    .filter(({ id }) => id !== leaderId)
    .sort(byId);
  return position < 0 ? undefined : voters[position % voters.length];
}

export class LearnerRelays {
  private readonly relays = new Map<string, Replicator>();
  private source: RelaySource | undefined;

  constructor(private readonly member: RelayingMember) {}

  /**
   * Starts and stops relays to match the leader and the configuration. Called at every heartbeat
   * interval.
   */
  update(): void {
    const { member } = this;
    const { leaderId, term } = member;
    if (
      !member.isFollower ||
      leaderId === undefined ||
      !isVoter(member.configuration, member.ownId)
    ) {
      this.stop();
      return;
    }
    if (this.source?.ownId !== leaderId || this.source.term !== term) this.stop();
    this.source ??= new RelaySource(member, { leaderId, term, onHigherTerm: () => this.stop() });
    const assigned = member.configuration.members.filter(
      ({ id }) => relayOf(member.configuration, leaderId, id)?.id === member.ownId,
    );
    for (const learner of assigned) this.startRelay(learner, this.source);
    for (const id of this.relays.keys()) {
      if (!assigned.some((learner) => learner.id === id)) this.stopRelay(id);
    }
  }

  /** Called when the commit index has advanced. */
  notify(): void {
    for (const relay of this.relays.values()) relay.notify();
  }

  stop(): void {
    for (const id of this.relays.keys()) this.stopRelay(id);
    this.source = undefined;
  }

  private startRelay(learner: Member, source: RelaySource): void {
    if (!this.relays.has(learner.id)) this.relays.set(learner.id, new Replicator(source, learner));
  }

  private stopRelay(id: string): void {
    this.relays.get(id)?.stop();
    this.relays.delete(id);
  }
}

interface RelayTerm {
  leaderId: string;
  term: number;
  onHigherTerm: () => void;
}

/** Replication source for the committed entries of a member, on behalf of its leader. */
class RelaySource implements ReplicationSource {
  readonly isOverloaded = false;
  /** Concurrent snapshot transfers from two members would abort each other. */
  readonly sendsSnapshots = false;
  readonly log: ReplicatedLog;

  constructor(
    private readonly member: RelayingMember,
    private readonly leadership: RelayTerm,
  ) {
    this.log = new CommittedLog(member, () => this.isCurrent);
  }

  private get isCurrent(): boolean {
    const { leaderId, term } = this.member;
    return leaderId === this.leadership.leaderId && term === this.leadership.term;
  }

  get group(): string {
    return this.member.group;
  }

  get ownId(): string {
    return this.leadership.leaderId;
  }

  get term(): number {
    return this.leadership.term;
  }

  get commitIndex(): number {
    return this.log.lastIndex;
  }

  get heartbeatIntervalMs(): number {
    return this.member.heartbeatIntervalMs;
  }

  get traffic(): ReplicationTraffic {
    return this.member.traffic;
  }

  isVoter(memberId: string): boolean {
    return isVoter(this.member.configuration, memberId);
  }

  isRelayed(): boolean {
    return false;
  }

  call<Request, Response>(
    member: Member,
    method: Method<Request, Response>,
    request: Request,
    options: CallOptions,
  ): Promise<Response> {
    return this.member.call(member, method, request, options);
  }

  onFollowerProgress(): void {
    // The leader learns the progress from the learner's heartbeat responses.
  }

  onHigherTerm(): void {
    this.leadership.onHigherTerm();
  }
}

/** View of a log up to the commit index; later entries may still be replaced. */
class CommittedLog implements ReplicatedLog {
  /**
   * @param isCurrent whether the member still follows the leader on whose behalf entries are sent
   */
  constructor(
    private readonly member: RelayingMember,
    private readonly isCurrent: () => boolean,
  ) {}

  /** Entries committed by a later leader must not be sent on behalf of this one. */
  get lastIndex(): number {
    return this.isCurrent() ? this.member.commitIndex : 0;
  }

  get compactedTo(): MemberLog['compactedTo'] {
    return this.member.log.compactedTo;
  }

  get configuration(): GroupConfiguration {
    return this.member.configuration;
  }

  termAt(index: number): number | undefined {
    return this.member.log.termAt(index);
  }

  slice(fromIndex: number, maximumBytes: number): LogEntry[] {
    const entries = this.member.log.slice(fromIndex, maximumBytes);
    return entries.filter(({ index }) => index <= this.lastIndex);
  }

  openSnapshot(): ReturnType<MemberLog['openSnapshot']> {
    return this.member.log.openSnapshot();
  }
}
