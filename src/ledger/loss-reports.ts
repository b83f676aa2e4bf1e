/**
 * What members say of values that their state names and they have lost. A kept turn was on a majority of the
 * voters when it was committed: one that more than half of them have lost can't be waited for.
 */
import type { Member } from '../consensus/index.js';

export class LossReports {
  /** Ids of the voters that have lost a turn's value, by the turn. */
  private readonly voters = new Map<string, Set<string>>();

  /** @param answeredBy identity of the member that answered at the asked one's address */
  add({ id, role }: Member, answeredBy: string | undefined, turns: readonly string[]): void {
    if (role !== 'voter' || answeredBy !== id) return;
    for (const turn of turns) {
      const known = this.voters.get(turn);
      if (known) known.add(id);
      else this.voters.set(turn, new Set([id]));
    }
  }

  /** Turns whose values more than half of the voters among these members have lost. */
  lostByMajorityOf(members: readonly Member[]): string[] {
    const voterCount = members.filter(({ role }) => role === 'voter').length;
    return [...this.voters]
      .filter(([, reporters]) => reporters.size > voterCount / 2)
      .map(([turn]) => turn);
  }
}
