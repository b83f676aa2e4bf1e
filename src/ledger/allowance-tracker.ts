/**
 * A gateway's allowances by program, as the ledger granted them, less what turns have taken that
 * the ledger has not confirmed yet.
 */
import { createLruMap } from '../common/index.js';

const MAX_PROGRAMS = 20_000;

interface Allowance {
  availableTokens: number;
  /** Turns that took from the allowance and are not settled yet. */
  unsettledTurns: number;
}

export class AllowanceTracker {
  private readonly allowances = createLruMap<string, Allowance>(MAX_PROGRAMS);

  /**
   * Takes over what the ledger granted. While turns are unsettled the ledger may not know of them,
   * so its figure is left alone until they are.
   */
  update(program: string, grantedTokens: number): void {
    const known = this.allowances.get(program);
    if (known && known.unsettledTurns > 0) return;
    this.allowances.set(program, { availableTokens: grantedTokens, unsettledTurns: 0 });
  }

  covers(program: string, mostTokens: number): boolean {
    const allowance = this.allowances.get(program);
    return allowance !== undefined && mostTokens > 0 && allowance.availableTokens >= mostTokens;
  }

  /** Takes a turn's most out of the allowance. @returns whether it was covered */
  take(program: string, mostTokens: number): boolean {
    if (!this.covers(program, mostTokens)) return false;
    const allowance = this.allowances.get(program)!;
    allowance.availableTokens -= mostTokens;
    allowance.unsettledTurns += 1;
    return true;
  }

  /** The turn is over: what it did not spend may be taken again. */
  refund(program: string, unspentTokens: number): void {
    const allowance = this.allowances.get(program);
    if (allowance) allowance.availableTokens += Math.max(0, unspentTokens);
  }

  /** The ledger has taken note of one turn. */
  confirm(program: string): void {
    const allowance = this.allowances.get(program);
    if (allowance) allowance.unsettledTurns -= 1;
  }
}
