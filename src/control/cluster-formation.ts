/**
 * Cluster discovery for a member with an empty data folder. It probes all configured members. If any of them belongs
 * to a cluster, this member joins it as a new member; only if all of them respond that they are new do they bootstrap
 * a cluster together. A member that lost its disk can therefore never bootstrap a second cluster.
 *
 * Where only the first start of the system may bootstrap, the data folders remember it, since all processes may be killed
 * during it. No cluster can have committed anything while a majority of its founders has a folder of the first start and is
 * new: a founder saves its new state before it takes part in the cluster.
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
  /** See `Identity`. */
  firstSeeds?: readonly string[];
}

/** `always`: together with all other members if they are new; `first-start`: only at the first start of the system. */
export type BootstrapPermission = 'always' | 'first-start' | 'never';

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
  /** Whether this process may bootstrap a cluster, rather than only join one. @default always */
  mayBootstrap?: BootstrapPermission;
}

export function registerProbe(router: MethodRouter, identity: IdentityStore): void {
  router.handle(PROBE, () => {
    const { memberId, state, founders, firstSeeds } = identity.identity;
    return { memberId, state, founders, firstSeeds };
  });
}

/** Resolves once this member bootstraps a cluster with all others or has found one to join. */
export async function discoverCluster(options: ClusterFormationOptions): Promise<void> {
  const { identity, logger, signal } = options;
  while (identity.identity.state === 'new' && !signal.aborted) {
    const responses = await probeOthers(options);
    const founders =
      findExistingFounders(responses) ??
      (mayFound(options, responses) ? proposeFounders(options, responses) : undefined);
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

/** Whether this member may found a cluster if all others answer that they are new. */
function mayFound(
  { identity, members, mayBootstrap = 'always' }: ClusterFormationOptions,
  responses: (ProbeResponse | undefined)[],
): boolean {
  if (mayBootstrap !== 'first-start') return mayBootstrap === 'always';
  const addresses = members.map(({ address }) => address);
  const fromFirstStart = [identity.identity, ...responses].filter((found) =>
    hasSameElements(found?.firstSeeds ?? [], addresses),
  );
  return fromFirstStart.length > members.length / 2;
}

function hasSameElements(left: readonly string[], right: readonly string[]): boolean {
  return [...left].sort().join() === [...right].sort().join();
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
