/**
 * Program ids. The id of a root program contains no dot; that of a sub-agent is its parent's id, a
 * dot and its own part. All programs under one root belong to the same journal group.
 */
import { randomBytes } from 'node:crypto';
import { hash32, sha256Hex } from '../common/index.js';

const ID_BYTES = 12;
const KEYED_ID_DIGITS = 24;
const SEPARATOR = '.';
const ID_PATTERN = /^[A-Za-z0-9_-]{1,64}(\.[A-Za-z0-9_-]{1,64}){0,16}$/;

export function isProgramId(text: string): boolean {
  return ID_PATTERN.test(text);
}

/**
 * Creates a program id. With an idempotency key the id is derived from tenant, parent and key, so
 * that a repeated request opens one program.
 */
export function createProgramId(
  tenant: string,
  parent: string | undefined,
  idempotencyKey: string | undefined,
): string {
  const own =
    idempotencyKey === undefined
      ? `p${randomBytes(ID_BYTES).toString('hex')}`
      : `k${sha256Hex(`${tenant}|${parent ?? ''}|${idempotencyKey}`).slice(0, KEYED_ID_DIGITS)}`;
  return parent === undefined ? own : `${parent}${SEPARATOR}${own}`;
}

export function rootOf(programId: string): string {
  return programId.split(SEPARATOR, 1)[0]!;
}

/** Number of ancestors of a program: 0 for a root. */
export function depthOf(programId: string): number {
  return programId.split(SEPARATOR).length - 1;
}

export const JOURNAL_GROUP_PREFIX = 'journal-';

/** Name of the journal group that stores a program. */
export function journalGroupOf(programId: string, groupCount: number): string {
  return `${JOURNAL_GROUP_PREFIX}${hash32(rootOf(programId)) % groupCount}`;
}

export function journalGroupNames(groupCount: number): string[] {
  return Array.from({ length: groupCount }, (_, index) => `${JOURNAL_GROUP_PREFIX}${index}`);
}
