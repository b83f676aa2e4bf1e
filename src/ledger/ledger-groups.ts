/**
 * The ledger's replicated groups. Each program belongs to one of them by its id, so that its budget, its placements and its
 * kept turns are ordered by one leader, and different programs by leaders on different machines.
 */
import type { Member } from '../consensus/index.js';

/** The first group, which every ledger has. */
export const LEDGER_GROUP = 'ledger';

/** A ledger group and the members that found it. */
export interface LedgerGroupFounders {
  name: string;
  founders: Member[];
}

/** Upper bound of the groups of one ledger. */
export const MAX_LEDGER_GROUPS = 16;

/** @param index from 0 */
export function ledgerGroupName(index: number): string {
  return index === 0 ? LEDGER_GROUP : `${LEDGER_GROUP}-${index + 1}`;
}

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/**
 * Index of the group that a program belongs to. The same for all releases: a program whose account moves would have its
 * budget twice.
 * @param count number of groups of the ledger
 */
export function ledgerGroupOf(program: string, count: number): number {
  if (count <= 1) return 0;
  let hash = FNV_OFFSET;
  for (let index = 0; index < program.length; index += 1) {
    hash = Math.imul(hash ^ program.charCodeAt(index), FNV_PRIME);
  }
  // The low bits of FNV-1a depend on the low bits of the input only.
  hash ^= hash >>> 15;
  hash = Math.imul(hash, 0x85ebca6b);
  hash ^= hash >>> 13;
  return (hash >>> 0) % count;
}
