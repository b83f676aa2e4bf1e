/**
 * Takes a member with a new data folder into a group: first as a learner, then, once it holds the
 * log, in place of the member that had its name before. The steps are repeated by the joiner until
 * it is a voter, so that a change of leader in between loses nothing.
 */
import { type Member, findMember, votersOf } from './configuration.js';
import { MembershipChangeError } from './errors.js';
import type { ReplicatedGroup } from './replicated-group.js';

/** How many entries a learner may lack when it is made a voter. */
const CAUGHT_UP_LAG = 64;

export class MembershipChanger {
  /**
   * Takes the next step for `member`.
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
    throw new MembershipChangeError(`member lacks ${lag} entries`, {
      step: 'consensus.join',
      peer: member.name,
      retriable: true,
    });
  }
}
