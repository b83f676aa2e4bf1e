/** Identifies a request over the attempts of its caller, which have different ids and may reach different gateways. */
import { createHash } from 'node:crypto';

/** Digest of a request's identity. */
export type RequestKey = string;

/** What stays the same when a caller sends a request again. */
export interface RequestIdentity {
  host: string;
  method: string;
  /** Path with the query. */
  target: string;
  /** Without the history of earlier turns, which `previousTurn` names. */
  body: Uint8Array;
  program?: { id: string; session?: string };
  previousTurn?: string;
  affinityKey?: string;
  promptParts: readonly { id: string }[];
}

/** Makes collisions negligible, and is short enough for logs. */
const KEY_BYTES = 12;

/**
 * Cost is linear in the size of the body.
 * @param tenant name of the caller's tenant, if it has one
 */
export function requestKeyOf(identity: RequestIdentity, tenant: string | undefined): RequestKey {
  const { host, method, target, body, program, previousTurn, affinityKey, promptParts } = identity;
  const parts = promptParts.map(({ id }) => id);
  // JSON separates the fields, so that a text cannot move from one to the next.
  const fields = [tenant, host, method, target, program?.id, program?.session, previousTurn];
  const text = JSON.stringify([...fields, affinityKey, parts]);
  const digest = createHash('sha256').update(text).update('\0').update(body).digest();
  return digest.subarray(0, KEY_BYTES).toString('hex');
}
