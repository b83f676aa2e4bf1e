/**
 * Adds a member with a new data folder to a group: first as a learner and, once it has caught up,
 * as a voter in place of the previous member with the same name. The joining member repeats its
 * request until it is a voter, so a change of leader does not interrupt the process.
 */
import { type Member, findMember, votersOf } from './configuration.js';
import { MembershipChangeError } from './errors.js';
import type { ReplicatedGroup } from './replicated-group.js';

/** Maximum number of missing entries for promotion of a learner. */
const CAUGHT_UP_LAG = 64;

export class MembershipChanger {
  /**
   * Performs the next step for `member`.
   * @returns whether the member is a voter now
   */
  async advanceJoin(group: ReplicatedGroup, member: Member): Promise<boolean> {
    const known = findMember(group.configuration, member.id);
    if (known?.role === 'voter') return true;
    if (!known) {
      await group.addMember({ ...member, role: 'learner' });
      return false;
    }
    this.requireCaughtUp(group, member);
    const replaced = votersOf(group.configuration).find(
      (voter) => voter.name === member.name && voter.id !== member.id,
    );
    if (replaced) {
      await group.removeMember(replaced.id);
      return false;
    }
    await group.addMember({ ...member, role: 'voter' });
    return true;
  }

  private requireCaughtUp(group: ReplicatedGroup, member: Member): void {
    const lag = group.log.lastIndex - group.matchIndexOf(member.id);
    if (lag <= CAUGHT_UP_LAG) return;
    throw new MembershipChangeError(`member is ${lag} entries behind the leader`, {
      step: 'consensus.join',
      peer: member.name,
      retriable: true,
    });
  }
}
