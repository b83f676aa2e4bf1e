/**
 * Cluster discovery for a member with an empty data folder. It probes all configured members. If any of them belongs
 * to a cluster, this member joins it as a new member; only if all of them respond that they are new do they bootstrap
 * a cluster together. A member that lost its disk can therefore never bootstrap a second cluster.
 */
import { type Logger } from '../observability/index.js';
import { sleep } from '../common/index.js';
import type { Member, PeerCaller } from '../consensus/index.js';
import { defineMethod, type MethodRouter } from '../wire/index.js';
import type { IdentityState, IdentityStore } from './identity.js';

export interface ProbeResponse {
  memberId: string;
  state: IdentityState;
  founders: Member[];
}

export const PROBE = defineMethod<Record<string, never>, ProbeResponse>('cluster.probe');

const PROBE_TIMEOUT_MS = 500;
const PROBE_INTERVAL_MS = 100;

export interface ConfiguredMember {
  name: string;
  zone: string;
  region: string;
  address: string;
}

export interface ClusterFormationOptions {
  ownName: string;
  members: ConfiguredMember[];
  identity: IdentityStore;
  peers: PeerCaller;
  logger: Logger;
  signal: AbortSignal;
  /** Whether this process may bootstrap a cluster, rather than only join one. @default true */
  canBootstrap?: boolean;
}

export function registerProbe(router: MethodRouter, identity: IdentityStore): void {
  router.handle(PROBE, () => {
    const { memberId, state, founders } = identity.identity;
    return { memberId, state, founders };
  });
}

/** Resolves once this member bootstraps a cluster with all others or has found one to join. */
export async function discoverCluster(options: ClusterFormationOptions): Promise<void> {
  const { identity, logger, signal } = options;
  while (identity.identity.state === 'new' && !signal.aborted) {
    const responses = await probeOthers(options);
    const canBootstrap = options.canBootstrap ?? true;
    const founders =
      findExistingFounders(responses) ??
      (canBootstrap ? proposeFounders(options, responses) : undefined);
    if (!founders) {
      await sleep(PROBE_INTERVAL_MS, signal);
      continue;
    }
    const { memberId } = identity.identity;
    const isFounder = founders.some((member) => member.id === memberId);
    await identity.save({ memberId, state: isFounder ? 'founding' : 'joining', founders });
    logger.info(isFounder ? 'founding the cluster' : 'joining the cluster', { memberId });
  }
}

async function probeOthers(
  options: ClusterFormationOptions,
): Promise<(ProbeResponse | undefined)[]> {
  const others = options.members.filter((member) => member.name !== options.ownName);
  return Promise.all(
    others.map((member) =>
      options.peers
        .call(member.address, PROBE, {}, { timeoutMs: PROBE_TIMEOUT_MS })
        .catch(() => undefined),
    ),
  );
}

function findExistingFounders(responses: (ProbeResponse | undefined)[]): Member[] | undefined {
  return responses.find(
    (response) => response && response.state !== 'new' && response.founders.length > 0,
  )?.founders;
}

function proposeFounders(
  options: ClusterFormationOptions,
  responses: (ProbeResponse | undefined)[],
): Member[] | undefined {
  const ids = responses.map((response) => response?.memberId);
  if (ids.some((id) => id === undefined)) return undefined;
  const others = options.members.filter((member) => member.name !== options.ownName);
  const known = new Map(others.map((member, index) => [member.name, ids[index]!]));
  known.set(options.ownName, options.identity.identity.memberId);
  return options.members.map(({ name, address }) => ({
    id: known.get(name)!,
    name,
    address,
    role: 'voter',
  }));
}
