/**
 * The leader's task that keeps its group at the target number of voters: it admits processes that announce
 * themselves, and replaces members that are lost, have lost their disk, or are being retired.
 */
import { describeError, monotonicMs } from '../common/index.js';
import { type Member, type ReplicatedGroup, votersOf } from '../consensus/index.js';
import type { Logger } from '../observability/index.js';
import type { AdmissionRequest, AdmissionResponse } from './messages.js';
import { type MembershipStep, planMembershipStep } from './voter-plan.js';

const CHECK_INTERVAL_MS = 100;
/** Time without an announcement after which a candidate is dropped. */
const CANDIDATE_TTL_MS = 2_500;
/** Time without a response after which a voter may be replaced. */
const UNREACHABLE_AFTER_MS = 1_200;
/** Time without a response after which a learner is removed. */
const LOST_AFTER_MS = 8_000;
/** Maximum number of entries that a learner may lag behind to be promoted. */
const CAUGHT_UP_LAG = 64;
/**
 * Alternatively, it may lag by the entries of this many intervals: under load even an up-to-date learner lags by
 * more than `CAUGHT_UP_LAG`, and could otherwise not replace a lost voter.
 */
const CAUGHT_UP_INTERVALS = 8;

export interface VoterSetManagerOptions {
  targetVoters: number;
  isRetiring: (name: string) => boolean;
  logger: Logger;
}

interface CandidateEntry {
  member: Member;
  announcedAt: number;
}

export class VoterSetManager {
  private readonly candidates = new Map<string, CandidateEntry>();
  private readonly timer: NodeJS.Timeout;
  /** Last log index at each of the latest intervals, oldest first. */
  private readonly lastIndexes: number[] = [];
  private isBusy = false;

  constructor(
    private readonly group: ReplicatedGroup,
    private readonly options: VoterSetManagerOptions,
  ) {
    this.timer = setInterval(() => void this.reconcile(), CHECK_INTERVAL_MS);
  }

  requestAdmission({ group, member }: AdmissionRequest): AdmissionResponse {
    if (group !== this.group.name || !this.group.isLeader) {
      return { leads: false, leaderAddress: this.group.leaderAddress };
    }
    this.recordCandidate(member);
    return { leads: true };
  }

  /** A candidate replaces others with its name or address: their identities are no longer in use. */
  private recordCandidate(member: Member): void {
    for (const [id, { member: other }] of this.candidates) {
      const isSameNode = other.name === member.name || other.address === member.address;
      if (isSameNode && id !== member.id) this.candidates.delete(id);
    }
    this.candidates.set(member.id, { member, announcedAt: monotonicMs() });
  }

  stop(): void {
    clearInterval(this.timer);
  }

  /** Whether the group has no member on the machine, has enough voters, and all of them hold the committed log. */
  isSafeToRemove(name: string): boolean {
    const { group } = this;
    if (!group.isCurrentLeader || !group.isConfigurationSettled) return false;
    if (group.configuration.members.some((member) => member.name === name)) return false;
    const voters = votersOf(group.configuration);
    if (voters.length < this.options.targetVoters) return false;
    return voters.every((voter) => voter.id === group.ownId || this.holdsLog(voter.id));
  }

  private async reconcile(): Promise<void> {
    this.lastIndexes.push(this.group.log.lastIndex);
    if (this.lastIndexes.length > CAUGHT_UP_INTERVALS) this.lastIndexes.shift();
    if (this.isBusy || !this.group.isCurrentLeader || !this.group.isConfigurationSettled) return;
    const step = this.nextStep();
    if (!step) return;
    this.isBusy = true;
    try {
      await this.execute(step);
    } catch (error) {
      this.options.logger.warn('membership step failed', { description: describeError(error) });
    } finally {
      this.isBusy = false;
    }
  }

  private nextStep(): MembershipStep | undefined {
    const now = monotonicMs();
    for (const [id, candidate] of this.candidates) {
      if (now - candidate.announcedAt > CANDIDATE_TTL_MS) this.candidates.delete(id);
    }
    return planMembershipStep({
      configuration: this.group.configuration,
      ownId: this.group.ownId,
      targetVoters: this.options.targetVoters,
      candidates: [...this.candidates.values()],
      isReachable: (id) => this.isReachable(id),
      isLost: (id) => now - this.lastContactMs(id) > LOST_AFTER_MS,
      isCaughtUp: (id) => this.isCaughtUp(id),
      isRetiring: this.options.isRetiring,
    });
  }

  private async execute(step: MembershipStep): Promise<void> {
    const { group } = this;
    const member = step.kind === 'hand-over' ? undefined : step.member;
    this.options.logger.info('membership step', {
      group: group.name,
      step: step.kind,
      member: member?.id,
    });
    if (step.kind === 'hand-over') await group.transferLeadership();
    else if (step.kind === 'remove') await this.remove(step.member);
    else await group.addMember(step.member);
  }

  /**
   * Also drops the candidate entry of an unreachable member: otherwise a member that has just crashed would be
   * admitted and removed repeatedly. A running process announces itself again.
   */
  private async remove(member: Member): Promise<void> {
    if (!this.isReachable(member.id)) this.candidates.delete(member.id);
    await this.group.removeMember(member.id);
  }

  /** Whether a voter could lead now: it responds, holds nearly the whole log, and its machine stays. */
  canLead({ id, name }: Member): boolean {
    return this.isReachable(id) && this.isCaughtUp(id) && !this.options.isRetiring(name);
  }

  private isReachable(id: string): boolean {
    return monotonicMs() - this.lastContactMs(id) < UNREACHABLE_AFTER_MS;
  }

  /** The start of this leader's term counts as contact with every member. */
  private lastContactMs(id: string): number {
    return Math.max(this.group.contactMsOf(id), this.group.leadingSince);
  }

  private isCaughtUp(id: string): boolean {
    const [oldestLastIndex = 0] = this.lastIndexes;
    const matchIndex = this.group.matchIndexOf(id);
    return this.lagOf(id) <= CAUGHT_UP_LAG || matchIndex >= oldestLastIndex;
  }

  private lagOf(id: string): number {
    return this.group.log.lastIndex - this.group.matchIndexOf(id);
  }

  /** An unreachable voter does not count, because it may have lost its disk. */
  private holdsLog(id: string): boolean {
    return this.isReachable(id) && this.group.matchIndexOf(id) >= this.group.commitIndex;
  }
}
