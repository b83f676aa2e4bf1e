/** Budget accounting along the chain from a program to its root, whose budget covers all descendants. */
import type { ProgramRecord } from './program-state.js';

/** A program followed by its ancestors. */
export type ProgramChain = readonly ProgramRecord[];

/** Whether every budget along the chain covers another `amount` tokens. */
export function coversReservation(chain: ProgramChain, amount: number): boolean {
  return chain.every((program) => program.spent + program.reserved + amount <= program.budget);
}

export function reserve(chain: ProgramChain, amount: number): void {
  for (const program of chain) program.reserved += amount;
}

/** Replaces a reservation by its cost; the rest becomes available again. */
export function settleReservation(chain: ProgramChain, reservation: number, cost: number): void {
  for (const program of chain) {
    program.reserved -= reservation;
    program.spent += cost;
  }
}

/** Corrects the charge of an attempt whose actual cost becomes known later. */
export function correctSpending(chain: ProgramChain, difference: number): void {
  for (const program of chain) program.spent += difference;
}
