/**
 * Allowances of a gateway by program: what the ledger granted, less the draws of turns whose
 * settlement the ledger has not confirmed yet.
 */
import { createLruMap } from '../common/index.js';

const MAX_PROGRAMS = 20_000;

interface Allowance {
  availableTokens: number;
  /** Turns that drew on the allowance and are not settled yet. */
  unsettledTurns: number;
}

export class AllowanceTracker {
  private readonly allowances = createLruMap<string, Allowance>(MAX_PROGRAMS);

  /**
   * Stores the allowance that the ledger granted. Ignored while turns are unsettled, since the grant
   * may not account for their draws.
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

  /** Draws a turn's maximum from the allowance. @returns whether the allowance covered it */
  take(program: string, mostTokens: number): boolean {
    if (!this.covers(program, mostTokens)) return false;
    const allowance = this.allowances.get(program)!;
    allowance.availableTokens -= mostTokens;
    allowance.unsettledTurns += 1;
    return true;
  }

  /** Returns the tokens that a finished turn did not spend. */
  refund(program: string, unspentTokens: number): void {
    const allowance = this.allowances.get(program);
    if (allowance) allowance.availableTokens += Math.max(0, unspentTokens);
  }

  /** Records that the ledger committed the settlement of one turn. */
  confirm(program: string): void {
    const allowance = this.allowances.get(program);
    if (allowance) allowance.unsettledTurns -= 1;
  }
}
