/**
 * What programs have spent and reserved, and the allowances that let a gateway go on with a program
 * for a moment while the ledger can't be reached. An allowance counts as committed from its grant
 * on, so a gateway that dies with one can't lead to spending beyond the budget.
 */
import type { ReserveCommand, Settlement } from './ledger-commands.js';

interface ProgramAccount {
  spentTokens: number;
  /** Open reservations by attempt. */
  reserved: Map<string, number>;
  /** Allowances by holder. */
  allowances: Map<string, number>;
  /** Attempts that are settled, so that a late copy of a reservation opens nothing. */
  settled: Set<string>;
  touchedAtMs: number;
}

/** The account in plain lists. */
export interface EncodedAccount {
  program: string;
  spentTokens: number;
  reserved: [string, number][];
  allowances: [string, number][];
  settled: string[];
  touchedAtMs: number;
}

/** A program that has not been heard of for so long is over, in milliseconds. */
const FORGET_AFTER_MS = 15 * 60_000;
/** All allowances of a program together are this share of its budget at most. */
const ALLOWANCE_SHARE = 0.25;
/** An allowance is meant to hold so many turns at their most. */
const ALLOWANCE_TURNS = 2;

export class ProgramBudgets {
  private accounts = new Map<string, ProgramAccount>();

  /** Whether the reservation stands; a repeated one always does. */
  reserve(command: ReserveCommand): boolean {
    const account = this.account(command.program, command.nowMs);
    const { attempt, mostTokens, budgetTokens, holder } = command;
    if (account.reserved.has(attempt) || account.settled.has(attempt)) return true;
    if (budgetTokens !== undefined) {
      const lacking = committedOf(account) + mostTokens - budgetTokens;
      if (lacking > 0 && !takeBack(account, holder, lacking)) return false;
    }
    account.reserved.set(attempt, mostTokens);
    return true;
  }

  /**
   * Raises the holder's allowance where the budget has room to spare.
   * @returns the holder's allowance, in tokens
   */
  grantAllowance({ program, holder, budgetTokens, mostTokens }: ReserveCommand): number {
    const account = this.accounts.get(program);
    if (!account || holder === undefined || budgetTokens === undefined) return 0;
    const own = account.allowances.get(holder) ?? 0;
    const granted = sum(account.allowances.values());
    const room = Math.min(
      mostTokens * ALLOWANCE_TURNS - own,
      budgetTokens * ALLOWANCE_SHARE - granted,
      budgetTokens - committedOf(account),
    );
    const raised = own + Math.floor(Math.max(0, room));
    if (raised < mostTokens) return own;
    account.allowances.set(holder, raised);
    return raised;
  }

  settle({ program, attempt, spentTokens, draw }: Settlement, nowMs: number): void {
    const account = this.account(program, nowMs);
    if (account.settled.has(attempt)) return;
    account.reserved.delete(attempt);
    account.settled.add(attempt);
    account.spentTokens += spentTokens;
    if (!draw) return;
    const allowance = account.allowances.get(draw.holder) ?? 0;
    account.allowances.set(draw.holder, Math.max(0, allowance - draw.tokens));
  }

  /** Tokens spent and reserved by a program. */
  committedTokens(program: string): number {
    const account = this.accounts.get(program);
    return account ? committedOf(account) : 0;
  }

  expire(nowMs: number): void {
    for (const [program, account] of this.accounts) {
      if (account.touchedAtMs + FORGET_AFTER_MS < nowMs) this.accounts.delete(program);
    }
  }

  encode(): EncodedAccount[] {
    return [...this.accounts].map(([program, account]) => ({
      program,
      spentTokens: account.spentTokens,
      reserved: [...account.reserved],
      allowances: [...account.allowances],
      settled: [...account.settled],
      touchedAtMs: account.touchedAtMs,
    }));
  }

  restore(encoded: EncodedAccount[]): void {
    this.accounts = new Map(
      encoded.map(({ program, spentTokens, reserved, allowances, settled, touchedAtMs }) => [
        program,
        {
          spentTokens,
          reserved: new Map(reserved),
          allowances: new Map(allowances),
          settled: new Set(settled),
          touchedAtMs,
        },
      ]),
    );
  }

  private account(program: string, nowMs: number): ProgramAccount {
    let account = this.accounts.get(program);
    if (!account) {
      account = {
        spentTokens: 0,
        reserved: new Map(),
        allowances: new Map(),
        settled: new Set(),
        touchedAtMs: nowMs,
      };
      this.accounts.set(program, account);
    }
    account.touchedAtMs = nowMs;
    return account;
  }
}

function committedOf(account: ProgramAccount): number {
  return account.spentTokens + sum(account.reserved.values()) + sum(account.allowances.values());
}

/** Takes tokens back out of the allowance of the one that asks. */
function takeBack(account: ProgramAccount, holder: string | undefined, tokens: number): boolean {
  if (holder === undefined) return false;
  const own = account.allowances.get(holder) ?? 0;
  if (own < tokens) return false;
  account.allowances.set(holder, own - tokens);
  return true;
}

function sum(values: Iterable<number>): number {
  let total = 0;
  for (const value of values) total += value;
  return total;
}
