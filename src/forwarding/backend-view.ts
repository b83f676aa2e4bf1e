/** The back ends as one gateway knows them: registrations, its own calls, and its experiences. */
import { monotonicMs } from '../common/index.js';
import type { BackendLoad, BackendRecord } from '../directory/index.js';
import { SlowdownEstimator, LatencyModel } from '../performance/index.js';
import type { PromptPart } from './call-exchange.js';
import { BackendConnectionPool } from './backend-connections.js';
import { PromptCacheView } from './prompt-cache-view.js';

const FIRST_SUSPICION_MS = 500;
const LONGEST_SUSPICION_MS = 5_000;
/** A back end that owes answers is suspect after so long without a byte, in milliseconds. */
const MUTE_AFTER_MS = 700;

/** What one back end of a service can take. */
export interface BackendLimits {
  /** Connections that this gateway may open to it. */
  connections(service: string): number;
  /** Tokens that it can keep, of all callers together. */
  cacheTokens(service: string): number;
  /** Gateways that send calls there. */
  gateways(): number;
}

/** One back end and what this gateway does there. */
export class BackendState {
  /** Calls of this gateway under way here. */
  inFlight = 0;
  /** Calls of the other gateways, as last told. */
  otherInFlight = 0;
  readonly connections: BackendConnectionPool;
  /** How much longer than others it takes for the same work. */
  readonly slowdown = new SlowdownEstimator();
  private readonly cache: PromptCacheView;
  private suspectUntil = 0;
  private failures = 0;
  /** When this gateway last heard of it, or began to wait for it (monotonic, milliseconds). */
  private heardAt = 0;

  constructor(
    public record: BackendRecord,
    /** How long calls of the service take. */
    readonly model: LatencyModel,
    private readonly limits: BackendLimits,
  ) {
    const { service, address } = record;
    this.connections = new BackendConnectionPool(address, () => limits.connections(service));
    this.cache = new PromptCacheView(() => limits.cacheTokens(service) / limits.gateways());
  }

  /** Typical calls that fit at once: by slots, and by the memory that their prompts take. */
  get capacity(): number {
    const { slots, service } = this.record;
    const { typicalPromptTokens } = this.model;
    if (typicalPromptTokens === 0) return slots;
    return Math.max(1, Math.min(slots, this.limits.cacheTokens(service) / typicalPromptTokens));
  }

  get id(): string {
    return this.record.id;
  }

  get load(): number {
    return this.inFlight + this.otherInFlight;
  }

  get isSuspect(): boolean {
    return this.record.isSilent || monotonicMs() < this.suspectUntil || this.isUnresponsive;
  }

  /** Whether answers are due here and not a byte has come for a while. */
  get isUnresponsive(): boolean {
    return this.inFlight > 0 && monotonicMs() - this.heardAt > MUTE_AFTER_MS;
  }

  /** A call is sent here. */
  beginCall(parts: readonly PromptPart[]): void {
    if (this.inFlight === 0) this.heardAt = monotonicMs();
    this.inFlight += 1;
    this.cache.noteSent(parts);
    if (parts.length > 0) this.model.notePrompt(parts.reduce((sum, { tokens }) => sum + tokens, 0));
  }

  /** A call that was sent here is over. */
  endCall(): void {
    this.inFlight -= 1;
  }

  /** Bytes of an answer came in. */
  noteDataReceived(): void {
    this.heardAt = monotonicMs();
  }

  /** A call failed in a way that speaks against the back end. */
  noteFailure(): void {
    const suspicion = Math.min(LONGEST_SUSPICION_MS, FIRST_SUSPICION_MS * 2 ** this.failures);
    this.failures += 1;
    this.suspectUntil = monotonicMs() + suspicion;
  }

  /**
   * A call was answered whole with an error of the back end's own. One that fails all calls answers them at once: by its
   * load and its pace it would draw more calls than any other. What was sent before it was suspect says nothing more.
   */
  noteErrorResponse(): void {
    if (monotonicMs() >= this.suspectUntil) this.noteFailure();
  }

  noteSuccess(): void {
    this.failures = 0;
    this.suspectUntil = 0;
  }

  /** @param time on the monotonic clock, in milliseconds */
  hasSentDataSince(time: number): boolean {
    return this.heardAt > time;
  }

  /** Tokens of a prompt that are not cached here, as far as this gateway's own calls tell. */
  missingTokens(parts: readonly PromptPart[]): number {
    return this.cache.missingTokens(parts);
  }
}

export class BackendView {
  private readonly backends = new Map<string, BackendState>();
  private byService = new Map<string, BackendState[]>();
  private readonly models = new Map<string, LatencyModel>();

  constructor(private readonly limits: BackendLimits) {}

  /** Takes over the registered back ends; those that are gone get no further calls. */
  update(records: readonly BackendRecord[]): void {
    const present = new Set(records.map((record) => record.id));
    for (const [id, backend] of this.backends) {
      if (present.has(id)) continue;
      backend.connections.closeIdle();
      this.backends.delete(id);
    }
    for (const record of records) this.take(record);
    this.byService = groupByService(this.backends.values());
  }

  updateOtherLoads(loads: readonly BackendLoad[]): void {
    for (const backend of this.backends.values()) backend.otherInFlight = 0;
    for (const { id, inFlight } of loads) {
      const backend = this.backends.get(id);
      if (backend) backend.otherInFlight = inFlight;
    }
  }

  /** Gateways that send calls to these back ends, this one included. */
  get gateways(): number {
    return this.limits.gateways();
  }

  /** Back ends of a service that may be sent new calls. */
  serving(service: string): readonly BackendState[] {
    return this.byService.get(service) ?? [];
  }

  /** What a call of a service takes, in milliseconds. */
  typicalMs(service: string): number {
    return this.modelOf(service).typicalMs;
  }

  /** An incarnation answered that it is not the expected one: it gets no more calls. */
  drop(id: string): void {
    const backend = this.backends.get(id);
    if (!backend) return;
    backend.connections.closeIdle();
    this.backends.delete(id);
    this.byService = groupByService(this.backends.values());
  }

  loads(): BackendLoad[] {
    return [...this.backends.values()]
      .filter((backend) => backend.inFlight > 0)
      .map((backend) => ({ id: backend.id, inFlight: backend.inFlight }));
  }

  private take(record: BackendRecord): void {
    const known = this.backends.get(record.id);
    if (known && known.record.address === record.address) {
      known.record = record;
      if (record.phase === 'draining') known.connections.closeIdle();
      return;
    }
    const model = this.modelOf(record.service);
    this.backends.set(record.id, new BackendState(record, model, this.limits));
  }

  private modelOf(service: string): LatencyModel {
    const known = this.models.get(service);
    if (known) return known;
    const model = new LatencyModel();
    this.models.set(service, model);
    return model;
  }
}

function groupByService(backends: Iterable<BackendState>): Map<string, BackendState[]> {
  const groups = new Map<string, BackendState[]>();
  for (const backend of backends) {
    if (backend.record.phase !== 'ready') continue;
    const group = groups.get(backend.record.service) ?? [];
    group.push(backend);
    groups.set(backend.record.service, group);
  }
  return groups;
}
