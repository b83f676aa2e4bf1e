/**
 * Collects reports of members about values that they have lost. A majority of the voters stored a value when
 * its turn was committed; once a majority reports it lost, it is considered unrecoverable.
 */
import type { Member } from '../consensus/index.js';

export class LossReports {
  /** Ids of the voters that have lost a turn's value, by turn id. */
  private readonly reportersByTurn = new Map<string, Set<string>>();

  /** @param answeredBy id of the member that responded at the address of the queried member */
  add({ id, role }: Member, answeredBy: string | undefined, turns: readonly string[]): void {
    if (role !== 'voter' || answeredBy !== id) return;
    for (const turn of turns) {
      const known = this.reportersByTurn.get(turn);
      if (known) known.add(id);
      else this.reportersByTurn.set(turn, new Set([id]));
    }
  }

  /** Ids of the turns whose values were lost by more than half of the voters among these members. */
  lostByMajorityOf(members: readonly Member[]): string[] {
    const voterCount = members.filter(({ role }) => role === 'voter').length;
    return [...this.reportersByTurn]
      .filter(([, reporters]) => reporters.size > voterCount / 2)
      .map(([turn]) => turn);
  }
}
