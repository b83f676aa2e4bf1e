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
  /** Whether the ledger may be reclaiming it. */
  isSurrendered: boolean;
  /** Number of draws, surrenders and their ends so far; grants of earlier requests are outdated. */
  version: number;
}

export class AllowanceTracker {
  private readonly allowances = createLruMap<string, Allowance>(MAX_PROGRAMS);

  /** Version of a program's allowance, to be read when a request is sent that may grant one. */
  versionOf(program: string): number {
    return this.allowances.get(program)?.version ?? 0;
  }

  /**
   * Stores the allowance that the ledger granted. Ignored while turns are unsettled, since the grant
   * may not account for their draws.
   * @param version of the allowance when the request was sent
   */
  update(program: string, grantedTokens: number, version = this.versionOf(program)): void {
    const known = this.allowances.get(program);
    if (known && known.unsettledTurns > 0) return;
    if (known?.isSurrendered || version !== (known?.version ?? 0)) return;
    this.store(program, grantedTokens, version);
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
    allowance.version += 1;
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

  /**
   * Gives the allowance up, so that the ledger may reclaim it for a turn that the budget does not cover otherwise.
   * @returns false if there is nothing to reclaim, or turns still draw on it
   */
  surrender(program: string): boolean {
    const allowance = this.allowances.get(program);
    if (!allowance || allowance.isSurrendered) return false;
    if (allowance.unsettledTurns > 0 || allowance.availableTokens === 0) return false;
    allowance.availableTokens = 0;
    allowance.isSurrendered = true;
    allowance.version += 1;
    return true;
  }

  /** Ends a surrender. @param grantedTokens the remaining allowance; 0 if that is unknown */
  endSurrender(program: string, grantedTokens: number): void {
    this.store(program, grantedTokens, this.versionOf(program) + 1);
  }

  private store(program: string, availableTokens: number, version: number): void {
    const allowance = { availableTokens, unsettledTurns: 0, isSurrendered: false, version };
    this.allowances.set(program, allowance);
  }
}
