/** What programs have spent and reserved. */
import type { ReserveCommand, SettleCommand } from './ledger-commands.js';

interface ProgramAccount {
  spentTokens: number;
  /** Open reservations by attempt. */
  reserved: Map<string, number>;
  /** Attempts that are settled, so that a late copy of a reservation opens nothing. */
  settled: Set<string>;
  touchedAtMs: number;
}

/** The account in plain lists. */
export interface EncodedAccount {
  program: string;
  spentTokens: number;
  reserved: [string, number][];
  settled: string[];
  touchedAtMs: number;
}

/** A program that has not been heard of for so long is over, in milliseconds. */
const FORGET_AFTER_MS = 15 * 60_000;

export class ProgramBudgets {
  private accounts = new Map<string, ProgramAccount>();

  /** Whether the reservation stands; a repeated one always does. */
  reserve(command: ReserveCommand): boolean {
    const account = this.account(command.program, command.nowMs);
    const { attempt, mostTokens, budgetTokens } = command;
    if (account.reserved.has(attempt) || account.settled.has(attempt)) return true;
    if (budgetTokens !== undefined) {
      const committed = account.spentTokens + sum(account.reserved.values());
      if (committed + mostTokens > budgetTokens) return false;
    }
    account.reserved.set(attempt, mostTokens);
    return true;
  }

  settle(command: SettleCommand): void {
    const account = this.account(command.program, command.nowMs);
    if (account.settled.has(command.attempt)) return;
    account.reserved.delete(command.attempt);
    account.settled.add(command.attempt);
    account.spentTokens += command.spentTokens;
  }

  /** Tokens spent and reserved by a program. */
  committedTokens(program: string): number {
    const account = this.accounts.get(program);
    return account ? account.spentTokens + sum(account.reserved.values()) : 0;
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
      settled: [...account.settled],
      touchedAtMs: account.touchedAtMs,
    }));
  }

  restore(encoded: EncodedAccount[]): void {
    this.accounts = new Map(
      encoded.map(({ program, spentTokens, reserved, settled, touchedAtMs }) => [
        program,
        { spentTokens, reserved: new Map(reserved), settled: new Set(settled), touchedAtMs },
      ]),
    );
  }

  private account(program: string, nowMs: number): ProgramAccount {
    let account = this.accounts.get(program);
    if (!account) {
      account = { spentTokens: 0, reserved: new Map(), settled: new Set(), touchedAtMs: nowMs };
      this.accounts.set(program, account);
    }
    account.touchedAtMs = nowMs;
    return account;
  }
}

function sum(values: Iterable<number>): number {
  let total = 0;
  for (const value of values) total += value;
  return total;
}
