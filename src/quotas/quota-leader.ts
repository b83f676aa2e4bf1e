/** Leader side of the quotas: allocates shares and answers the gateways' requests. */
import { monotonicMs, sleep } from '../common/index.js';
import { type ReplicatedGroup, answerAsLeader } from '../consensus/index.js';
import type { MethodRouter } from '../wire/index.js';
import { QUOTA_SHARES, type SharesResponse, type SharesRequest } from './messages.js';
import type { QuotaTolerance } from './quota-budget.js';
import { type NamedLimit, ShareRegistry } from './share-registry.js';

/** Duration of the lease of granted shares, in milliseconds. */
export const SHARE_LEASE_MS = 3_500;
/**
 * Time after which a leader without contact to a majority steps down, in milliseconds. Gateways ignore responses of a
 * leader that was not confirmed for longer, and a new leader grants no tokens that its predecessor may still grant
 * within this time.
 */
export const LEADER_OVERLAP_MS = 300;
/** Newly shared tenants within this time are committed as one batch, in milliseconds. */
const BATCH_DELAY_MS = 100;

/** The committed set of gateways that may hold shares, and of tenants whose rates they may hold. */
export interface CommittedShares {
  gateways: ReadonlySet<string>;
  tenants: ReadonlySet<string>;
}

export interface QuotaLeaderOptions {
  tolerance: QuotaTolerance;
  limits: () => readonly NamedLimit[];
  /** Changes whenever `limits` changes. */
  limitsVersion: () => number;
  outstandingShares: () => CommittedShares;
  commitShares: (out: { gateways: string[]; tenants: string[] }) => Promise<void>;
}

export class QuotaLeader {
  private readonly registry: ShareRegistry;
  private knownTerm = -1;
  private knownVersion = -1;
  private committing: Promise<void> | undefined;
  private isBatching = false;
  private readonly newGateways = new Set<string>();
  /** When names were committed that this leader may not have heard of since (monotonic, milliseconds). */
  private readonly committedAt = new Map<string, number>();

  constructor(
    private readonly options: QuotaLeaderOptions,
    private readonly findGroup: () => ReplicatedGroup | undefined,
  ) {
    this.registry = new ShareRegistry({
      tolerance: options.tolerance,
      leaseMs: SHARE_LEASE_MS,
      overlapMs: LEADER_OVERLAP_MS,
      mayShare: (tenant) => options.outstandingShares().tenants.has(tenant),
    });
  }

  register(router: MethodRouter): void {
    router.handle(QUOTA_SHARES, (request) =>
      answerAsLeader(this.findGroup(), (group) => this.handle(group, request)),
    );
  }

  private async handle(group: ReplicatedGroup, request: SharesRequest): Promise<SharesResponse> {
    this.refresh(group);
    const { gateway } = request;
    while (!this.options.outstandingShares().gateways.has(gateway)) {
      this.newGateways.add(gateway);
      await this.commit();
    }
    this.refresh(group);
    const now = monotonicMs();
    const shares = this.registry.report(request, now);
    if (this.registry.hasPendingTenants) this.commitSoon();
    return { term: group.term, confirmedAgeMs: now - group.quorumContactMs(), shares };
  }

  /** Resets the registry in a new term and reloads the limits if the configuration has changed. */
  private refresh(group: ReplicatedGroup): void {
    const now = monotonicMs();
    if (group.term !== this.knownTerm) {
      this.knownTerm = group.term;
      this.knownVersion = -1;
      this.committedAt.clear();
      this.registry.begin(this.options.outstandingShares(), now);
    }
    const version = this.options.limitsVersion();
    if (version === this.knownVersion) return;
    this.knownVersion = version;
    this.registry.setLimits(this.options.limits(), now);
  }

  /** Rates are granted only once the tenant is committed as shared; until then gateways request a token per call. */
  private commitSoon(): void {
    if (this.isBatching) return;
    this.isBatching = true;
    void this.commitBatch().catch(() => {
      // The commit fails if leadership was lost; the next request triggers it again.
    });
  }

  private async commitBatch(): Promise<void> {
    await sleep(BATCH_DELAY_MS);
    this.isBatching = false;
    await this.commit();
  }

  /** Names that arrive during a commit are batched into the next one. */
  private commit(): Promise<void> {
    this.committing ??= this.commitPending().finally(() => {
      this.committing = undefined;
    });
    return this.committing;
  }

  private async commitPending(): Promise<void> {
    const newGateways = [...this.newGateways];
    const newTenants = this.registry.takePendingTenants();
    this.newGateways.clear();
    const gateways = [...new Set([...this.gatewaysInUse(), ...newGateways])];
    const tenants = [...new Set([...this.tenantsInUse(), ...newTenants])];
    await this.options.commitShares({ gateways, tenants });
    for (const name of [...newGateways, ...newTenants]) this.committedAt.set(name, monotonicMs());
  }

  /** Committed gateways whose leases have not expired. */
  private gatewaysInUse(): string[] {
    const holders = new Set(this.registry.holders(monotonicMs()));
    const { gateways } = this.options.outstandingShares();
    return [...gateways].filter((name) => holders.has(name) || this.isNew(name));
  }

  /** Committed tenants with a rate held by any gateway. */
  private tenantsInUse(): string[] {
    const { tenants } = this.options.outstandingShares();
    return [...tenants].filter((name) => this.registry.isShared(name) || this.isNew(name));
  }

  private isNew(name: string): boolean {
    const at = this.committedAt.get(name);
    if (at === undefined) return false;
    if (monotonicMs() - at <= SHARE_LEASE_MS) return true;
    this.committedAt.delete(name);
    return false;
  }
}
