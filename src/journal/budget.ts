/** Budgets along the chain from a program up to its root; the root's budget covers all below it. */
import type { ProgramRecord } from './program-state.js';

/** A program and all programs above it. */
export type ProgramChain = readonly ProgramRecord[];

/** Whether every budget along the chain still covers `amount` tokens. */
export function coversReservation(chain: ProgramChain, amount: number): boolean {
  return chain.every((program) => program.spent + program.reserved + amount <= program.budget);
}

export function reserve(chain: ProgramChain, amount: number): void {
  for (const program of chain) program.reserved += amount;
}

/** Turns a reservation into spending; what was not spent is free again. */
export function settleReservation(chain: ProgramChain, reservation: number, cost: number): void {
  for (const program of chain) {
    program.reserved -= reservation;
    program.spent += cost;
  }
}

/** Corrects what an attempt was charged, when its real cost becomes known later. */
export function correctSpending(chain: ProgramChain, difference: number): void {
  for (const program of chain) program.spent += difference;
}
