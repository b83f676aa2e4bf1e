/**
 * Replicated state of the directory: the current configuration, the registered backends, the founders
 * of the ledger group and the machines that are being retired.
 */
import type { Member, StateMachine } from '../consensus/index.js';
import { LEDGER_GROUP, type LedgerGroupFounders } from '../ledger/ledger-groups.js';
import { decodeValue, encodeValue } from '../wire/index.js';
import { type BackendDelta, type BackendHistory, BackendUpdateSource } from './backend-updates.js';
import type { BackendRegistration } from './backend-registration.js';
import { ChangeHistory } from '../common/index.js';
import type {
  DirectoryCommand,
  DirectoryResult,
  FoundLedgerCommand,
} from './directory-commands.js';
import {
  type Incarnation,
  incarnationId,
  isLaterIncarnation,
  isIncarnationOf,
} from './incarnation.js';
import type { CommittedUpdate, CommittedUpdateRequest } from './messages.js';
import type { PackedConfiguration } from './packed-configuration.js';
import { RecentVersions } from './recent-versions.js';
import { RegisteredBackends } from './registered-backends.js';
import type { ServiceVersions } from './service-versions.js';

export type RetirementState = 'running' | 'complete';

/** Ids of backends that have left are kept, so that a late heartbeat does not register one again. */
const MAX_REMEMBERED_DEPARTURES = 2_000;
/** Limit for backends that were removed for missing heartbeats. */
const MAX_REMEMBERED_LOSSES = 2_000;

/** Shares of tenants' limits that may be held by gateways. */
export interface QuotaShares {
  /** Gateways that may hold shares. */
  gateways: ReadonlySet<string>;
  /** Tenants for whose limits gateways may hold rates. */
  tenants: ReadonlySet<string>;
}

interface DirectoryState {
  configuration: PackedConfiguration | undefined;
  configurationIndex: number;
  backends: RegisteredBackends;
  backendsIndex: number;
  departed: Set<string>;
  /**
   * Addresses of backends that were removed for missing heartbeats, by id. Such a backend may register again, unless
   * another one has taken its address: a delayed heartbeat must not replace the running backend.
   */
  lost: Map<string, string>;
  /** Members that found the first ledger group; none before it is founded. */
  ledgerFounders: Member[];
  furtherLedgerGroups: LedgerGroupFounders[];
  retirements: Map<string, RetirementState>;
  quotaShares: QuotaShares;
}

/** Snapshot encoding of the state: maps and sets as lists. */
interface EncodedDirectoryState {
  configuration?: PackedConfiguration;
  configurationIndex: number;
  backends: BackendRegistration[];
  backendsIndex: number;
  departed: string[];
  lost: [string, string][];
  ledgerFounders: Member[];
  /** Absent in snapshots of releases with a single ledger group. */
  furtherLedgerGroups?: LedgerGroupFounders[];
  retirements: [string, RetirementState][];
  /** Absent in snapshots of releases without tenant limits. */
  quotaShares?: { gateways: string[]; tenants: string[] };
}

const NOTHING_CHANGED: DirectoryResult = { changed: false };
const CHANGED: DirectoryResult = { changed: true };

export class DirectoryStateMachine implements StateMachine, BackendHistory {
  /** Packed updates for watchers. */
  readonly backendUpdates = new BackendUpdateSource(this);
  private state: DirectoryState = emptyState();
  private readonly recentVersions = new RecentVersions();

  /**
   * @param onChange called after each command that changed the state
   * @param backendHistory not replicated: each member records what it applies
   */
  constructor(
    private readonly onChange: () => void = () => undefined,
    private readonly backendHistory = new ChangeHistory(),
  ) {}

  get configuration(): PackedConfiguration | undefined {
    return this.state.configuration;
  }

  /** Log index at which the configuration was applied; 0 before the first. */
  get configurationIndex(): number {
    return this.state.configurationIndex;
  }

  get backends(): ReadonlyMap<string, BackendRegistration> {
    return this.state.backends.byId;
  }

  /** Log index of the last change of the backends. */
  get backendsIndex(): number {
    return this.state.backendsIndex;
  }

  backendChangesAfter(afterIndex: number): BackendDelta | undefined {
    const ids = this.backendHistory.changedAfter(afterIndex);
    if (!ids) return undefined;
    const { backends, backendsIndex: index } = this.state;
    const changes: BackendDelta = { afterIndex, index, changed: [], gone: [] };
    for (const id of ids) {
      const backend = backends.get(id);
      if (backend) changes.changed.push(backend);
      else changes.gone.push(id);
    }
    return changes;
  }

  /** Members that found the first ledger group. */
  get ledgerFounders(): readonly Member[] {
    return this.state.ledgerFounders;
  }

  /** The groups of the ledger; none before it is founded. */
  get ledgerGroups(): readonly LedgerGroupFounders[] {
    const { ledgerFounders: founders, furtherLedgerGroups } = this.state;
    if (founders.length === 0) return [];
    return [{ name: LEDGER_GROUP, founders }, ...furtherLedgerGroups];
  }

  get retirements(): ReadonlyMap<string, RetirementState> {
    return this.state.retirements;
  }

  /** A new leader reads the shares that may be held before it grants any. */
  get quotaShares(): QuotaShares {
    return this.state.quotaShares;
  }

  hasDeparted(id: string): boolean {
    return this.state.departed.has(id);
  }

  /** Ids of the registered incarnations that match; the incarnation's own id if none is registered. */
  idsOf(incarnation: Incarnation): string[] {
    const { name, startedAt } = incarnation;
    const registered = this.state.backends
      .named(name)
      .filter((backend) => startedAt === undefined || backend.startedAt === startedAt);
    return registered.length > 0 ? registered.map(({ id }) => id) : [incarnationId(incarnation)];
  }

  /** Whether a registration would change the stored state. */
  isChange(registration: BackendRegistration): boolean {
    if (this.state.departed.has(registration.id)) return false;
    const known = this.state.backends.get(registration.id);
    if (!known) return !this.isOutdated(registration);
    if (registration.sequence < known.sequence) return false;
    return (
      known.phase !== registration.phase ||
      known.service !== registration.service ||
      known.address !== registration.address ||
      known.softwareVersion !== registration.softwareVersion
    );
  }

  /**
   * Software versions of the services' backends that are registered, or were within a time.
   * @param withinMs in milliseconds
   */
  versionsOf(services: readonly string[], withinMs: number): ServiceVersions {
    return this.recentVersions.of(services, this.backends.values(), withinMs);
  }

  /** What this member has applied after the versions that the watcher holds. */
  committedUpdateSince(held: CommittedUpdateRequest): CommittedUpdate {
    const { configuration, configurationIndex, backendsIndex } = this.state;
    const update: CommittedUpdate = {};
    if (configuration && configurationIndex > held.configurationIndex) {
      update.configuration = { index: configurationIndex, routes: configuration.routes };
    }
    if (backendsIndex > held.backendsIndex) {
      update.backends = this.backendUpdates.updateSince(held.backendsIndex);
    }
    return update;
  }

  apply(command: Uint8Array, index: number): DirectoryResult {
    const result = this.applyCommand(decodeValue<DirectoryCommand>(command), index);
    if (result.changed) this.onChange();
    return result;
  }

  snapshot(): Iterable<Uint8Array> {
    const { state } = this;
    const encoded: EncodedDirectoryState = {
      ...state,
      backends: [...state.backends.byId.values()],
      departed: [...state.departed],
      lost: [...state.lost],
      retirements: [...state.retirements],
      quotaShares: {
        gateways: [...state.quotaShares.gateways],
        tenants: [...state.quotaShares.tenants],
      },
    };
    return [encodeValue(encoded)];
  }

  restore(bytes: Uint8Array): void {
    const encoded = decodeValue<EncodedDirectoryState>(bytes);
    this.state = {
      ...encoded,
      configuration: encoded.configuration ?? undefined,
      furtherLedgerGroups: encoded.furtherLedgerGroups ?? [],
      backends: new RegisteredBackends(encoded.backends.map(withName)),
      departed: new Set(encoded.departed),
      lost: new Map(encoded.lost),
      retirements: new Map(encoded.retirements),
      quotaShares: quotaSharesOf(encoded.quotaShares),
    };
    this.backendHistory.reset(this.state.backendsIndex);
    this.recentVersions.reset();
    this.onChange();
  }

  private applyCommand(command: DirectoryCommand, index: number): DirectoryResult {
    switch (command.kind) {
      case 'put-configuration':
        return this.putConfiguration(command, index);
      case 'register-backend':
        return this.register(command.registration, index);
      case 'remove-backend':
        return this.remove(command.id, command.hasDeparted, index);
      case 'found-ledger':
        return this.foundLedger(command);
      case 'start-retirement':
        return this.setRetirement(command.node, 'running');
      case 'complete-retirement':
        return this.setRetirement(command.node, 'complete');
      case 'set-quota-shares':
        this.state.quotaShares = quotaSharesOf(command);
        return CHANGED;
    }
  }

  private putConfiguration(
    { generation, routes, source }: PackedConfiguration,
    index: number,
  ): DirectoryResult {
    const current = this.configuration;
    if (current && generation <= current.generation) return NOTHING_CHANGED;
    this.state.configuration = { generation, routes, source };
    this.state.configurationIndex = index;
    return CHANGED;
  }

  private register(registration: BackendRegistration, index: number): DirectoryResult {
    if (!this.isChange(registration)) return NOTHING_CHANGED;
    const known = this.state.backends.get(registration.id);
    // A drain is final for an incarnation.
    if (known?.phase === 'draining' && registration.phase === 'ready') return NOTHING_CHANGED;
    const { id, name, address } = registration;
    for (const other of this.state.backends.havingNameOrAddress(name, address)) {
      if (other.id !== id) this.markDeparted(other.id, index);
    }
    this.replaceLost(registration, index);
    if (known && !isSameVersion(known, registration)) this.recentVersions.noteRemoved(known);
    this.state.backends.set(registration);
    this.backendHistory.record(index, id);
    this.state.backendsIndex = index;
    return CHANGED;
  }

  /** Whether a later incarnation is registered under the same name, or at the same address with a later start time. */
  private isOutdated(registration: BackendRegistration): boolean {
    const { name, address } = registration;
    return this.state.backends.havingNameOrAddress(name, address).some((known) => {
      if (known.name === name) return isLaterIncarnation(known, registration);
      const haveStartTimes = known.startedAt !== undefined && registration.startedAt !== undefined;
      return known.address === address && haveStartTimes && isLaterIncarnation(known, registration);
    });
  }

  private remove(id: string, hasDeparted: boolean, index: number): DirectoryResult {
    const known = this.state.backends.get(id);
    if (hasDeparted) this.markDeparted(id, index);
    else if (known) this.recordLost(known, index);
    if (!known) return NOTHING_CHANGED;
    this.state.backendsIndex = index;
    return CHANGED;
  }

  private markDeparted(id: string, index: number): void {
    const { departed, lost } = this.state;
    this.removeRegistration(id, index);
    lost.delete(id);
    departed.add(id);
    dropOldest(departed, MAX_REMEMBERED_DEPARTURES);
  }

  private recordLost({ id, address }: BackendRegistration, index: number): void {
    const { lost } = this.state;
    this.removeRegistration(id, index);
    lost.set(id, address);
    dropOldest(lost, MAX_REMEMBERED_LOSSES);
  }

  private removeRegistration(id: string, index: number): void {
    const removed = this.state.backends.get(id);
    if (!removed) return;
    this.state.backends.delete(id);
    this.backendHistory.record(index, id);
    this.recentVersions.noteRemoved(removed);
  }

  /** Marks lost backends with the same address or name as departed; the registering one is no longer lost. */
  private replaceLost({ id, name, address }: BackendRegistration, index: number): void {
    const { lost } = this.state;
    lost.delete(id);
    for (const [other, otherAddress] of [...lost]) {
      if (otherAddress === address || isIncarnationOf(other, name)) this.markDeparted(other, index);
    }
  }

  private foundLedger({ founders, furtherGroups = [] }: FoundLedgerCommand): DirectoryResult {
    if (this.state.ledgerFounders.length > 0) return NOTHING_CHANGED;
    this.state.ledgerFounders = founders;
    this.state.furtherLedgerGroups = furtherGroups;
    return CHANGED;
  }

  private setRetirement(node: string, state: RetirementState): DirectoryResult {
    const known = this.state.retirements.get(node);
    if (known === state || known === 'complete') return NOTHING_CHANGED;
    this.state.retirements.set(node, state);
    return CHANGED;
  }
}

function quotaSharesOf(shares: { gateways: string[]; tenants: string[] } | undefined): QuotaShares {
  return { gateways: new Set(shares?.gateways), tenants: new Set(shares?.tenants) };
}

/** Snapshots of earlier releases hold only ids, which then also were the names. */
function withName(backend: BackendRegistration): BackendRegistration {
  return { ...backend, name: backend.name ?? backend.id };
}

function isSameVersion(left: BackendRegistration, right: BackendRegistration): boolean {
  return left.service === right.service && left.softwareVersion === right.softwareVersion;
}

/** Relies on the insertion order of sets and maps. */
function dropOldest(entries: Set<string> | Map<string, string>, maximum: number): void {
  const oldest = entries.keys().next().value;
  if (entries.size > maximum && oldest !== undefined) entries.delete(oldest);
}

function emptyState(): DirectoryState {
  return {
    configuration: undefined,
    configurationIndex: 0,
    backends: new RegisteredBackends(),
    backendsIndex: 0,
    departed: new Set(),
    lost: new Map(),
    ledgerFounders: [],
    furtherLedgerGroups: [],
    retirements: new Map(),
    quotaShares: quotaSharesOf(undefined),
  };
}
