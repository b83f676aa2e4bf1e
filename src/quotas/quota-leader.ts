/** The directory leader's side of limits: keeps the board of shares and answers gateways. */
import { monotonicMs, sleep } from '../common/index.js';
import { type ReplicatedGroup, answerAsLeader } from '../consensus/index.js';
import type { MethodRouter } from '../wire/index.js';
import { QUOTA_SHARES, type SharesResponse, type SharesRequest } from './messages.js';
import type { QuotaTolerance } from './quota-budget.js';
import { type NamedLimit, ShareRegistry } from './share-registry.js';

/** Shares hold for so long after the answer that gave them, in milliseconds. */
export const SHARE_LEASE_MS = 3_500;
/**
 * Answers of a leader that no majority has answered for so long are not taken, in milliseconds: the time after which it
 * steps down. A later leader gives nothing of what it doesn't know for as long.
 */
export const LEADER_OVERLAP_MS = 300;
/** Tenants that come to be shared within this time are committed together, in milliseconds. */
const GATHER_MS = 100;

/** Gateways that may hold shares, and tenants of whose limits they may hold rates. */
export interface CommittedShares {
  gateways: ReadonlySet<string>;
  tenants: ReadonlySet<string>;
}

export interface QuotaLeaderOptions {
  tolerance: QuotaTolerance;
  /** What the configuration in force says, and what tells whether it has changed. */
  limits: () => readonly NamedLimit[];
  limitsVersion: () => number;
  /** What may be out, as the group has committed it. */
  outstandingShares: () => CommittedShares;
  commitShares: (out: { gateways: string[]; tenants: string[] }) => Promise<void>;
}

export class QuotaLeader {
  private readonly board: ShareRegistry;
  private knownTerm = -1;
  private knownVersion = -1;
  private committing: Promise<void> | undefined;
  private isGathering = false;
  private readonly newGateways = new Set<string>();
  /** When names were committed that this leader may not have heard since (monotonic, milliseconds). */
  private readonly committedAt = new Map<string, number>();

  constructor(
    private readonly options: QuotaLeaderOptions,
    private readonly findGroup: () => ReplicatedGroup | undefined,
  ) {
    this.board = new ShareRegistry({
      tolerance: options.tolerance,
      leaseMs: SHARE_LEASE_MS,
      overlapMs: LEADER_OVERLAP_MS,
      mayShare: (tenant) => options.outstandingShares().tenants.has(tenant),
    });
  }

  register(router: MethodRouter): void {
    router.handle(QUOTA_SHARES, (request) =>
      answerAsLeader(this.findGroup(), (group) => this.answer(group, request)),
    );
  }

  private async answer(group: ReplicatedGroup, request: SharesRequest): Promise<SharesResponse> {
    this.refresh(group);
    const { gateway } = request;
    while (!this.options.outstandingShares().gateways.has(gateway)) {
      this.newGateways.add(gateway);
      await this.commit();
    }
    this.refresh(group);
    const now = monotonicMs();
    const shares = this.board.report(request, now);
    if (this.board.hasPendingTenants) this.commitSoon();
    return { term: group.term, confirmedAgeMs: now - group.quorumContactMs(), shares };
  }

  /** What an earlier term's leader knew counts for nothing; limits are read where the configuration is new. */
  private refresh(group: ReplicatedGroup): void {
    const now = monotonicMs();
    if (group.term !== this.knownTerm) {
      this.knownTerm = group.term;
      this.knownVersion = -1;
      this.committedAt.clear();
      this.board.begin(this.options.outstandingShares(), now);
    }
    const version = this.options.limitsVersion();
    if (version === this.knownVersion) return;
    this.knownVersion = version;
    this.board.setLimits(this.options.limits(), now);
  }

  /** Rates are given once it is committed that they may be out; until then gateways ask for each call. */
  private commitSoon(): void {
    if (this.isGathering) return;
    this.isGathering = true;
    void this.commitGathered().catch(() => {
      // A leader that has lost its lead commits nothing; the next question asks for it again.
    });
  }

  private async commitGathered(): Promise<void> {
    await sleep(GATHER_MS);
    this.isGathering = false;
    await this.commit();
  }

  /** What comes while a commit is under way is committed together after it. */
  private commit(): Promise<void> {
    this.committing ??= this.commitAll().finally(() => {
      this.committing = undefined;
    });
    return this.committing;
  }

  private async commitAll(): Promise<void> {
    const newGateways = [...this.newGateways];
    const newTenants = this.board.takePendingTenants();
    this.newGateways.clear();
    const gateways = [...new Set([...this.gatewaysInUse(), ...newGateways])];
    const tenants = [...new Set([...this.tenantsInUse(), ...newTenants])];
    await this.options.commitShares({ gateways, tenants });
    for (const name of [...newGateways, ...newTenants]) this.committedAt.set(name, monotonicMs());
  }

  /** Those that are committed, without those whose leases are over. */
  private gatewaysInUse(): string[] {
    const heard = new Set(this.board.holders(monotonicMs()));
    const { gateways } = this.options.outstandingShares();
    return [...gateways].filter((name) => heard.has(name) || this.isNew(name));
  }

  /** Those that are committed, without those of whose limits nobody holds a rate. */
  private tenantsInUse(): string[] {
    const { tenants } = this.options.outstandingShares();
    return [...tenants].filter((name) => this.board.isShared(name) || this.isNew(name));
  }

  private isNew(name: string): boolean {
    const at = this.committedAt.get(name);
    if (at === undefined) return false;
    if (monotonicMs() - at <= SHARE_LEASE_MS) return true;
    this.committedAt.delete(name);
    return false;
  }
}
