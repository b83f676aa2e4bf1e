/**
 * Accounts of programs: spent and reserved tokens, and the allowances that let a gateway run turns
 * while the ledger is unreachable. Granted allowances count as committed, so a gateway that crashes
 * with one cannot cause spending beyond the budget.
 */
import type { ReserveCommand, Settlement } from './ledger-commands.js';

interface ProgramAccount {
  spentTokens: number;
  /** Open reservations, in tokens, by attempt. */
  reserved: Map<string, number>;
  /** Allowances, in tokens, by holder. */
  allowances: Map<string, number>;
  /** Settled attempts, so that a delayed duplicate of a reservation has no effect. */
  settled: Set<string>;
  touchedAtMs: number;
}

/** A gateway asks for an allowance; programs without a budget have none. */
type AllowanceRequest = Pick<ReserveCommand, 'program' | 'holder' | 'budgetTokens' | 'mostTokens'>;

/** Encoding of an account in a snapshot. */
export interface EncodedAccount {
  program: string;
  spentTokens: number;
  reserved: [string, number][];
  allowances: [string, number][];
  settled: string[];
  touchedAtMs: number;
}

/** Time after its last use at which an account is removed, in milliseconds. */
const ACCOUNT_RETENTION_MS = 15 * 60_000;
/** Maximum share of a program's budget that all its allowances may take. */
const MAX_ALLOWANCE_SHARE = 0.25;
/** Number of turns, at their maximum tokens, that an allowance is sized for. */
const TURNS_PER_ALLOWANCE = 2;

export class ProgramBudgets {
  private accounts = new Map<string, ProgramAccount>();

  /** @returns whether the reservation was granted; a duplicate always is */
  reserve(command: ReserveCommand): boolean {
    const account = this.account(command.program, command.nowMs);
    const { attempt, mostTokens, budgetTokens, keepsAllowance } = command;
    if (account.reserved.has(attempt) || account.settled.has(attempt)) return true;
    if (budgetTokens !== undefined) {
      const shortfall = committedOf(account) + mostTokens - budgetTokens;
      const reclaimFrom = keepsAllowance ? undefined : command.holder;
      if (shortfall > 0 && !reclaimAllowance(account, reclaimFrom, shortfall)) return false;
    }
    account.reserved.set(attempt, mostTokens);
    return true;
  }

  /**
   * Raises the holder's allowance if the budget permits.
   * @returns the holder's allowance, in tokens
   */
  grantAllowance({ program, holder, budgetTokens, mostTokens }: AllowanceRequest): number {
    const account = this.accounts.get(program);
    if (!account || holder === undefined || budgetTokens === undefined) return 0;
    const own = account.allowances.get(holder) ?? 0;
    const granted = sum(account.allowances.values());
    const room = Math.min(
      mostTokens * TURNS_PER_ALLOWANCE - own,
      budgetTokens * MAX_ALLOWANCE_SHARE - granted,
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
      if (account.touchedAtMs + ACCOUNT_RETENTION_MS < nowMs) this.accounts.delete(program);
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

/** Reclaims tokens from the allowance of the holder that makes the reservation. */
function reclaimAllowance(
  account: ProgramAccount,
  holder: string | undefined,
  tokens: number,
): boolean {
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
