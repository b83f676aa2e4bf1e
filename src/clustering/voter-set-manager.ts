/**
 * The leader's task that keeps its group at the wished number of voters: takes in processes that
 * present themselves, and replaces members that are lost, came back empty, or are to leave.
 */
import { describeError, monotonicMs } from '../common/index.js';
import { type Member, type ReplicatedGroup, votersOf } from '../consensus/index.js';
import type { Logger } from '../observability/index.js';
import type { MethodRouter } from '../wire/index.js';
import { REQUEST_ADMISSION } from './messages.js';
import { type MembershipStep, planMembershipStep } from './voter-plan.js';

const KEEPER_INTERVAL_MS = 100;
/** A candidate that has been silent for so long is forgotten, in milliseconds. */
const CANDIDATE_VALID_MS = 2_500;
/** A voter that has not answered for so long may be replaced, in milliseconds. */
const UNREACHABLE_AFTER_MS = 1_200;
/** A learner that has not answered for so long is dropped, in milliseconds. */
const LOST_AFTER_MS = 8_000;
/** How many entries a learner may lack when it is made a voter. */
const CAUGHT_UP_LAG = 64;
/**
 * Or it may lack what came in so many of the latest intervals. Under load a learner that is up to date
 * lacks some hundred entries at any moment, and a lost voter would not be replaced by it.
 */
const CAUGHT_UP_INTERVALS = 5;

export interface VoterSetManagerOptions {
  targetVoters: number;
  isRetiring: (name: string) => boolean;
  logger: Logger;
}

interface SeenCandidate {
  member: Member;
  seenAt: number;
}

export class VoterSetManager {
  private readonly candidates = new Map<string, SeenCandidate>();
  private readonly timer: NodeJS.Timeout;
  /** Last indexes of the log at the latest intervals, oldest first. */
  private readonly lastIndexes: number[] = [];
  private isBusy = false;

  constructor(
    private readonly group: ReplicatedGroup,
    private readonly options: VoterSetManagerOptions,
  ) {
    this.timer = setInterval(() => void this.keep(), KEEPER_INTERVAL_MS);
  }

  registerHandler(router: MethodRouter): void {
    router.handle(REQUEST_ADMISSION, ({ group, member }) => {
      if (group !== this.group.name || !this.group.isLeader) {
        return { leads: false, leaderAddress: this.group.leaderAddress };
      }
      this.noteCandidate(member);
      return { leads: true };
    });
  }

  /** The latest to present itself under a name or address runs there; another identity is over. */
  private noteCandidate(member: Member): void {
    for (const [id, { member: other }] of this.candidates) {
      const isSamePlace = other.name === member.name || other.address === member.address;
      if (isSamePlace && id !== member.id) this.candidates.delete(id);
    }
    this.candidates.set(member.id, { member, seenAt: monotonicMs() });
  }

  stop(): void {
    clearInterval(this.timer);
  }

  /** Whether the group neither needs nor holds a machine any more, and all voters hold the log. */
  isSafeToRemove(name: string): boolean {
    const { group } = this;
    if (!group.isCurrentLeader || !group.isConfigurationSettled) return false;
    if (group.configuration.members.some((member) => member.name === name)) return false;
    const voters = votersOf(group.configuration);
    if (voters.length < this.options.targetVoters) return false;
    return voters.every((voter) => voter.id === group.ownId || this.holdsLog(voter.id));
  }

  private async keep(): Promise<void> {
    this.lastIndexes.push(this.group.log.lastIndex);
    if (this.lastIndexes.length > CAUGHT_UP_INTERVALS) this.lastIndexes.shift();
    if (this.isBusy || !this.group.isCurrentLeader || !this.group.isConfigurationSettled) return;
    const step = this.nextStep();
    if (!step) return;
    this.isBusy = true;
    try {
      await this.take(step);
    } catch (error) {
      this.options.logger.warn('membership step failed', { description: describeError(error) });
    } finally {
      this.isBusy = false;
    }
  }

  private nextStep(): MembershipStep | undefined {
    const now = monotonicMs();
    for (const [id, candidate] of this.candidates) {
      if (now - candidate.seenAt > CANDIDATE_VALID_MS) this.candidates.delete(id);
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

  private async take(step: MembershipStep): Promise<void> {
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
   * A silent member that presented itself before its removal is no candidate any more; a process that
   * still runs presents itself again. Otherwise a member without power is taken back and removed by
   * turns, and all watchers are told each time.
   */
  private async remove(member: Member): Promise<void> {
    if (!this.isReachable(member.id)) this.candidates.delete(member.id);
    await this.group.removeMember(member.id);
  }

  private isReachable(id: string): boolean {
    return monotonicMs() - this.lastContactMs(id) < UNREACHABLE_AFTER_MS;
  }

  /** A member counts as heard when this leader began to lead. */
  private lastContactMs(id: string): number {
    return Math.max(this.group.contactMsOf(id), this.group.leadingSince);
  }

  private isCaughtUp(id: string): boolean {
    const [earlierLastIndex = 0] = this.lastIndexes;
    const heldIndex = this.group.matchIndexOf(id);
    return this.lagOf(id) <= CAUGHT_UP_LAG || heldIndex >= earlierLastIndex;
  }

  private lagOf(id: string): number {
    return this.group.log.lastIndex - this.group.matchIndexOf(id);
  }

  /** What a silent voter acknowledged may be gone with its disk. */
  private holdsLog(id: string): boolean {
    return this.isReachable(id) && this.group.matchIndexOf(id) >= this.group.commitIndex;
  }
}
