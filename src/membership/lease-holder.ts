/**
 * A gateway's side of its configuration lease: a task that renews the lease and applies new revisions. The expiry is
 * measured on the monotonic clock.
 */
import { monotonicMs, sleep } from '../common/index.js';
import { type GroupClient } from '../consensus/index.js';
import {
  EMPTY_DOCUMENT,
  INTENTS_GROUP,
  type ConfigurationUpdate,
  type IntentDocument,
  applyChanges,
} from '../intents/index.js';
import type { Configuration, ConfigurationFetcher } from './configuration-fetcher.js';
import { type Logger } from '../observability/index.js';
import {
  RENEW_LEASE,
  type LeaseGrant,
  type RenewLeaseRequest,
  type RenewLeaseResponse,
} from './messages.js';

export interface LeaseHolderOptions {
  groups: GroupClient;
  fetcher: Pick<ConfigurationFetcher, 'fetch'>;
  gateway: string;
  incarnation: string;
  address: string;
  zone: string;
  /** Interval between renewals, in milliseconds. */
  renewIntervalMs: number;
  logger: Logger;
  /** Called when a new revision has been applied. */
  onConfiguration: (document: IntentDocument, revision: number) => void;
  /** Called at every renewal with the machines that the platform lists as leaving. */
  onLeaving: (machines: readonly string[]) => void;
}

const RENEWAL_TIMEOUT_MS = 1_500;
const RETRY_DELAY_MS = 50;

export class LeaseHolder {
  private expiresAtMs = Number.NEGATIVE_INFINITY;
  private heldRevision = 0;
  private currentDocument: IntentDocument = EMPTY_DOCUMENT;
  private wasHeld = false;
  private readonly stopping = new AbortController();

  constructor(private readonly options: LeaseHolderOptions) {}

  start(): void {
    void this.run();
  }

  stop(): void {
    this.stopping.abort();
  }

  /** Whether the gateway may start work. Check again immediately previousRevision each dispatch. */
  get isHeld(): boolean {
    return monotonicMs() < this.expiresAtMs;
  }

  get revision(): number {
    return this.heldRevision;
  }

  get document(): IntentDocument {
    return this.currentDocument;
  }

  private async run(): Promise<void> {
    while (!this.stopping.signal.aborted) {
      const renewed = await this.renew();
      this.logLeaseChange();
      const pause = renewed ? this.options.renewIntervalMs : RETRY_DELAY_MS;
      await sleep(pause, this.stopping.signal);
    }
  }

  /** Renews the lease, and renews it again immediately if a new revision was applied. */
  private async renew(): Promise<boolean> {
    const sentAt = monotonicMs();
    const previousRevision = this.heldRevision;
    try {
      const grant = await this.requestGrant();
      this.options.onLeaving(grant.leaving);
      // The revision is applied previousRevision the lease is extended, because the lease covers the leader's revision.
      await this.applyUpdate(grant.update);
      if (this.heldRevision >= revisionOf(grant.update, previousRevision)) {
        this.expiresAtMs = Math.max(this.expiresAtMs, sentAt + grant.leaseMs);
      }
    } catch {
      return false;
    }
    return this.heldRevision === previousRevision || this.renew();
  }

  private async requestGrant(): Promise<LeaseGrant> {
    const { gateway, incarnation, address, zone, groups } = this.options;
    const request: RenewLeaseRequest = {
      gateway,
      incarnation,
      address,
      zone,
      revision: this.heldRevision,
    };
    return groups.callWithRedirect<RenewLeaseRequest, RenewLeaseResponse, LeaseGrant>(
      INTENTS_GROUP,
      RENEW_LEASE,
      request,
      (response) =>
        'grant' in response
          ? { response: response.grant }
          : { leaderAddress: response.redirect.leaderAddress, refusal: 'not the leader' },
      { timeoutMs: RENEWAL_TIMEOUT_MS },
    );
  }

  private async applyUpdate(update: ConfigurationUpdate): Promise<void> {
    if (update.kind === 'changes') {
      this.applyConfiguration({
        revision: update.revision,
        document: applyChanges(this.currentDocument, update.changes),
      });
    } else if (update.kind === 'fetch') {
      const { signal } = this.stopping;
      const fetched = await this.options.fetcher.fetch(update.revision, signal);
      if (fetched) this.applyConfiguration(fetched);
    }
  }

  private applyConfiguration({ revision, document }: Configuration): void {
    // Late responses must not lower the revision.
    if (revision <= this.heldRevision) return;
    this.currentDocument = document;
    this.heldRevision = revision;
    this.options.onConfiguration(document, revision);
  }

  private logLeaseChange(): void {
    if (this.isHeld === this.wasHeld) return;
    this.wasHeld = this.isHeld;
    const message = this.wasHeld ? 'configuration lease held' : 'configuration lease lost';
    this.options.logger.info(message, { revision: this.heldRevision });
  }
}

/** The revision after an update is applied. */
function revisionOf(update: ConfigurationUpdate, currentRevision: number): number {
  return update.kind === 'none' ? currentRevision : update.revision;
}
