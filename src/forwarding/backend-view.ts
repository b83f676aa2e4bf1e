/** One gateway's view of the backends: registrations, in-flight calls and observed health. */
import { type BackendStatistics, callsOverCache } from '../backend-statistics/index.js';
import { groupBy, monotonicMs } from '../common/index.js';
import { type BackendLoad, type BackendRecord, versionKeyOf } from '../directory/index.js';
import type { VersionKey } from '../ledger/index.js';
import { type CallWork, SlowdownEstimator, LatencyModel } from '../performance/index.js';
import { type PromptPart, promptTokensOf } from './call-exchange.js';
import { BackendConnectionPool } from './backend-connections.js';
import { OutdatedLoads } from './outdated-loads.js';
import { PromptCacheView } from './prompt-cache-view.js';

const INITIAL_SUSPICION_MS = 500;
const MAX_SUSPICION_MS = 5_000;
/** Time without data after which a backend with calls in flight is unresponsive, in milliseconds. */
const UNRESPONSIVE_AFTER_MS = 700;
/** Weight of the newest report in the mean of other gateways' calls. */
const OTHER_LOAD_WEIGHT = 0.25;

/** Limits of the backends of a service. */
export interface BackendLimits {
  /** Maximum number of connections from this gateway to one backend. */
  connections(service: string): number;
  /** Capacity of the prompt cache of one backend, in tokens. */
  cacheTokens(service: string): number;
  /** Number of gateways that send calls to the backends. */
  gateways(): number;
}

/** Backends of a service that can continue each other's streams. */
export interface VersionCount {
  service: string;
  /** Undefined for backends that report none. */
  softwareVersion: string | undefined;
  backends: number;
}

/** State of one backend at this gateway. */
export class BackendState {
  /** Calls in flight from this gateway. */
  inFlight = 0;
  /** Calls in flight from other gateways, as last reported, less with the age of the report. */
  otherInFlight = 0;
  /** Calls in flight from other gateways in the last report. */
  reportedCalls = 0;
  /** Moving average of `otherInFlight` over reports. */
  meanOtherInFlight = 0;
  /** Tokens of the calls in flight from this gateway, with their expected answers. */
  tokensInFlight = 0;
  readonly connections: BackendConnectionPool;
  readonly slowdown = new SlowdownEstimator();
  private readonly cache: PromptCacheView;
  private suspectUntil = 0;
  private failures = 0;
  /** When data was last received, or the first of the calls in flight was sent (monotonic, milliseconds). */
  private dataReceivedAt = 0;

  constructor(
    public record: BackendRecord,
    readonly model: LatencyModel,
    private readonly limits: BackendLimits,
    readonly statistics?: BackendStatistics,
  ) {
    const { service, address } = record;
    this.connections = new BackendConnectionPool(address, () => limits.connections(service));
    this.cache = new PromptCacheView(() => limits.cacheTokens(service) / limits.gateways());
  }

  /** Typical calls that the backend can process at once, limited by slots and by cache memory. */
  get capacity(): number {
    const { slots, service } = this.record;
    const { typicalPromptTokens } = this.model;
    if (typicalPromptTokens === 0) return slots;
    return Math.max(1, Math.min(slots, this.limits.cacheTokens(service) / typicalPromptTokens));
  }

  get id(): string {
    return this.record.id;
  }

  get softwareVersion(): string | undefined {
    return this.record.softwareVersion;
  }

  get load(): number {
    return this.inFlight + this.otherInFlight;
  }

  get isSuspect(): boolean {
    const isSuspect = this.record.isSilent || monotonicMs() < this.suspectUntil;
    return isSuspect || this.isUnresponsive || this.isFailing;
  }

  /** Whether calls of this zone fail, by the reports of all gateways; false in independent mode. */
  get isFailing(): boolean {
    return this.statistics?.isFailing(this.id) ?? false;
  }

  /** Latency relative to the median of the service, by the reports of all gateways; 1 in independent mode. */
  get sharedSlowdown(): number {
    return this.statistics?.slowdownOf(this.id) ?? 1;
  }

  /** Latency relative to the prediction of the service's latency model. */
  get timeFactor(): number {
    return this.statistics?.isActive ? this.sharedSlowdown : this.slowdown.factor;
  }

  /**
   * Number of calls that must end before another one fits into the cache; 0 in independent mode.
   * @param answerTokens maximum length of its answer
   */
  callsOverCache(parts: readonly PromptPart[], answerTokens: number): number {
    if (!this.statistics?.isActive) return 0;
    return callsOverCache(promptTokensOf(parts) + answerTokens, {
      ownTokens: this.tokensInFlight,
      otherCalls: this.otherInFlight,
      typicalTokens: this.model.typicalPromptTokens + answerTokens,
      cacheTokens: this.limits.cacheTokens(this.record.service),
    });
  }

  /** Whether calls are in flight and no data was received for a while. */
  get isUnresponsive(): boolean {
    return this.inFlight > 0 && monotonicMs() - this.dataReceivedAt > UNRESPONSIVE_AFTER_MS;
  }

  /** Must be called when a call is sent. */
  beginCall(parts: readonly PromptPart[]): void {
    if (this.inFlight === 0) this.dataReceivedAt = monotonicMs();
    this.inFlight += 1;
    this.cache.noteSent(parts);
    if (parts.length > 0) this.model.notePrompt(promptTokensOf(parts));
  }

  /** Must be called when a call has ended. */
  endCall(): void {
    this.inFlight -= 1;
  }

  /**
   * Learns from the duration of a complete response.
   * @param wasPaused whether reading was paused, so that the duration is not the backend's own
   * @returns the predicted duration on a backend of normal speed, in milliseconds
   */
  noteDuration(work: CallWork, tookMs: number, wasPaused: boolean): number {
    const expectedMs = this.model.predictMs(work);
    this.model.observe(work, tookMs / this.timeFactor, this.capacity);
    this.slowdown.note(tookMs, expectedMs);
    if (!wasPaused) this.statistics?.noteDuration(this.id, tookMs, expectedMs);
    return expectedMs;
  }

  /** @param reportedCalls calls in flight from other gateways */
  noteReport(reportedCalls: number): void {
    this.reportedCalls = reportedCalls;
    this.otherInFlight = reportedCalls;
    this.meanOtherInFlight += (reportedCalls - this.meanOtherInFlight) * OTHER_LOAD_WEIGHT;
  }

  /** @param otherCalls calls of other gateways that are assumed without a current report */
  noteOutdated(otherCalls: number): void {
    this.otherInFlight = otherCalls;
    this.meanOtherInFlight = Math.min(this.meanOtherInFlight, otherCalls);
  }

  noteDataReceived(): void {
    this.dataReceivedAt = monotonicMs();
  }

  /** Marks the backend as suspect, with exponential backoff. */
  noteFailure(): void {
    const suspicionMs = Math.min(MAX_SUSPICION_MS, INITIAL_SUSPICION_MS * 2 ** this.failures);
    this.failures += 1;
    this.suspectUntil = monotonicMs() + suspicionMs;
  }

  /**
   * Records a complete error response. A backend that fails all calls immediately looks fast and idle and would attract
   * calls. Errors while it is already suspect are ignored, because their calls were sent earlier.
   */
  noteErrorResponse(): void {
    if (monotonicMs() >= this.suspectUntil) this.noteFailure();
  }

  noteSuccess(): void {
    this.failures = 0;
    this.suspectUntil = 0;
  }

  /** @param time monotonic, in milliseconds */
  hasSentDataSince(time: number): boolean {
    return this.dataReceivedAt > time;
  }

  /** Estimated uncached tokens of a prompt, based on this gateway's own calls. */
  missingTokens(parts: readonly PromptPart[]): number {
    return this.cache.missingTokens(parts);
  }
}

export class BackendView {
  private readonly backends = new Map<string, BackendState>();
  private byService = new Map<string, BackendState[]>();
  /** The same backends by service and version; a service is grouped when it is first asked for. */
  private readonly byVersion = new Map<string, Map<VersionKey, BackendState[]>>();
  private readonly models = new Map<string, LatencyModel>();
  private readonly outdatedLoads = new Map<string, OutdatedLoads>();

  /** @param statistics shared by all gateways in the scheduling mode `coordinated` */
  constructor(
    private readonly limits: BackendLimits,
    private readonly statistics?: BackendStatistics,
  ) {}

  /** Applies the registered backends; removed ones get no further calls. */
  update(records: readonly BackendRecord[]): void {
    const present = new Set(records.map((record) => record.id));
    for (const [id, backend] of this.backends) {
      if (present.has(id)) continue;
      backend.connections.closeIdle();
      this.backends.delete(id);
    }
    for (const record of records) this.take(record);
    this.groupByService();
  }

  updateOtherLoads(loads: readonly BackendLoad[]): void {
    const reported = new Map(loads.map(({ id, inFlight }) => [id, inFlight]));
    for (const backend of this.backends.values()) backend.noteReport(reported.get(backend.id) ?? 0);
    const now = monotonicMs();
    for (const service of this.byService.keys()) this.outdatedOf(service).noteReport(now);
  }

  /** Lowers the other gateways' calls while no report of them arrives; to be called every `AGING_INTERVAL_MS`. */
  ageOtherLoads(): void {
    const now = monotonicMs();
    for (const [service, backends] of this.byService) {
      const outdatedLoads = this.outdatedOf(service);
      if (!outdatedLoads.isOutdated(now)) continue;
      const ownCalls = backends.reduce((sum, { inFlight }) => sum + inFlight, 0);
      const aged = outdatedLoads.age(backends, ownCalls, this.gateways, now);
      aged?.forEach((otherCalls, index) => backends[index]!.noteOutdated(otherCalls));
    }
  }

  /**
   * Replaces the other gateways' calls at each backend of a service by their mean. Outdated figures would send the calls
   * of all gateways to the same backends, while others are idle.
   */
  levelOtherLoads(service: string): void {
    const backends = this.serving(service);
    const mean = meanOf(backends, ({ otherInFlight }) => otherInFlight);
    const meanReported = meanOf(backends, ({ reportedCalls }) => reportedCalls);
    for (const backend of backends) {
      backend.otherInFlight = mean;
      backend.reportedCalls = meanReported;
    }
  }

  /** Number of gateways that send calls to the backends, including this one. */
  get gateways(): number {
    return this.limits.gateways();
  }

  /**
   * Backends of a service that accept new calls.
   * @param version only those of this version @default those of all versions
   */
  serving(service: string, version?: VersionKey): readonly BackendState[] {
    if (version === undefined) return this.byService.get(service) ?? [];
    return this.groupsOf(service).get(version) ?? [];
  }

  /** Versions of the backends of a service that accept new calls, those of most backends first. */
  versions(service: string): VersionKey[] {
    const groups = [...this.groupsOf(service)];
    groups.sort(([, left], [, right]) => right.length - left.length);
    return groups.map(([version]) => version);
  }

  /** Versions of all registered backends of some services, including those that are leaving. */
  registeredVersions(services: readonly string[]): VersionKey[] {
    const all = [...this.backends.values()];
    const backends = all.filter(({ record }) => services.includes(record.service));
    return [...new Set(backends.map(versionKeyOf))];
  }

  /** Number of backends that accept new calls, by service and version. */
  countByVersion(): VersionCount[] {
    return [...this.byService.keys()].flatMap((service) =>
      [...this.groupsOf(service).values()].map((group) => {
        return { service, softwareVersion: group[0]!.softwareVersion, backends: group.length };
      }),
    );
  }

  /** Mean latency of a call of a service, in milliseconds. */
  typicalMs(service: string): number {
    return this.modelOf(service).typicalMs;
  }

  /** Removes a backend whose address is used by another incarnation. */
  drop(id: string): void {
    const backend = this.backends.get(id);
    if (!backend) return;
    backend.connections.closeIdle();
    this.backends.delete(id);
    this.groupByService();
  }

  loads(): BackendLoad[] {
    return [...this.backends.values()]
      .filter((backend) => backend.inFlight > 0)
      .map((backend) => ({ id: backend.id, inFlight: backend.inFlight }));
  }

  private groupByService(): void {
    const ready = [...this.backends.values()].filter(({ record }) => record.phase === 'ready');
    this.byService = groupBy(ready, ({ record }) => record.service);
    this.byVersion.clear();
  }

  private groupsOf(service: string): Map<VersionKey, BackendState[]> {
    let groups = this.byVersion.get(service);
    if (!groups) {
      groups = groupBy(this.serving(service), versionKeyOf);
      this.byVersion.set(service, groups);
    }
    return groups;
  }

  private take(record: BackendRecord): void {
    const known = this.backends.get(record.id);
    if (known && known.record.address === record.address) {
      known.record = record;
      if (record.phase === 'draining') known.connections.closeIdle();
      return;
    }
    const model = this.modelOf(record.service);
    this.backends.set(record.id, new BackendState(record, model, this.limits, this.statistics));
  }

  private outdatedOf(service: string): OutdatedLoads {
    let outdated = this.outdatedLoads.get(service);
    if (!outdated) {
      outdated = new OutdatedLoads();
      this.outdatedLoads.set(service, outdated);
    }
    return outdated;
  }

  private modelOf(service: string): LatencyModel {
    const known = this.models.get(service);
    if (known) return known;
    const model = new LatencyModel();
    this.models.set(service, model);
    return model;
  }
}

function meanOf(
  backends: readonly BackendState[],
  valueOf: (backend: BackendState) => number,
): number {
  return backends.reduce((sum, backend) => sum + valueOf(backend), 0) / backends.length;
}
