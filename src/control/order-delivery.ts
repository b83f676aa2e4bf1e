/**
 * Delivers to engines what the current revision requires of them (role, models, versions, adapters), as orders fenced
 * with the revision. Runs on the leader of the intents group. A new revision is sent only to engines that it
 * changes; all orders are also repeated at a bounded rate, because a restarted engine has lost its order.
 */
import { Backoff, SignalEvent, monotonicMs } from '../common/index.js';
import type { EngineOrder } from '../backends/control-requests.js';
import type { BackendIntent, IntentDocument } from '../intents/index.js';

export interface OrderDeliveryOptions {
  /** The current revision and document. */
  current: () => { revision: number; document: IntentDocument };
  send: (address: string, order: EngineOrder) => Promise<boolean>;
}

const TICK_MS = 200;
const MAXIMUM_RETRY_DELAY_MS = 2_000;
/** Time after which a confirmed order is sent again. */
const REPEAT_AFTER_MS = 5_000;
/** Maximum number of repeated orders per tick. */
const REPEATS_PER_TICK = 40;
/** Maximum number of orders in flight, so that an unreachable zone does not overload the leader. */
const MAX_IN_FLIGHT = 64;

type OrderContent = Omit<EngineOrder, 'fence'>;

/** Delivery state of one engine's order. */
class EngineOrderState {
  /** Serialized content that the engine confirmed last. */
  confirmedText: string | undefined;
  /** Earliest time of the next attempt (monotonic, milliseconds). */
  nextAtMs = 0;
  isBusy = false;
  readonly backoff = new Backoff({ maximumMs: MAXIMUM_RETRY_DELAY_MS });

  constructor(
    public address: string,
    public content: OrderContent,
    public text: string,
  ) {}

  get isConfirmed(): boolean {
    return this.confirmedText === this.text;
  }

  isDue(now: number): boolean {
    return !this.isBusy && now >= this.nextAtMs;
  }
}

export class OrderDelivery {
  private readonly engines = new Map<string, EngineOrderState>();
  private readonly wake = new SignalEvent();
  private stopping = new AbortController();
  private knownRevision = -1;
  private inFlight = 0;

  constructor(private readonly options: OrderDeliveryOptions) {}

  start(): void {
    this.stopping = new AbortController();
    this.engines.clear();
    this.knownRevision = -1;
    void this.run(this.stopping.signal);
  }

  stop(): void {
    this.stopping.abort();
    this.wake.notify();
  }

  /** Wakes the delivery task after a new revision. */
  notify(): void {
    this.wake.notify();
  }

  private async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const { revision, document } = this.options.current();
      if (revision !== this.knownRevision) this.applyRevision(revision, document);
      this.sendDue();
      await this.wake.waitWithTimeout(TICK_MS);
    }
  }

  private applyRevision(revision: number, document: IntentDocument): void {
    this.knownRevision = revision;
    const present = new Set<string>();
    for (const backend of document.backends) {
      if (backend.kind !== 'engine') continue;
      present.add(backend.id);
      this.updateEngine(backend, document);
    }
    for (const id of this.engines.keys()) if (!present.has(id)) this.engines.delete(id);
  }

  private updateEngine(backend: BackendIntent, document: IntentDocument): void {
    const content = contentFor(backend, document);
    const text = JSON.stringify(content);
    const known = this.engines.get(backend.id);
    if (!known || known.address !== backend.address) {
      this.engines.set(backend.id, new EngineOrderState(backend.address, content, text));
      return;
    }
    if (known.text === text) return;
    known.content = content;
    known.text = text;
    known.nextAtMs = 0;
  }

  private sendDue(): void {
    const now = monotonicMs();
    const due = [...this.engines.values()].filter((engine) => engine.isDue(now));
    const changed = due.filter((engine) => !engine.isConfirmed);
    const repeated = due.filter((engine) => engine.isConfirmed).slice(0, REPEATS_PER_TICK);
    const capacity = MAX_IN_FLIGHT - this.inFlight;
    for (const engine of [...changed, ...repeated].slice(0, capacity)) {
      void this.deliver(engine);
    }
  }

  private async deliver(engine: EngineOrderState): Promise<void> {
    const { address, content, text } = engine;
    engine.isBusy = true;
    this.inFlight += 1;
    const order = { fence: this.knownRevision, ...content };
    const isConfirmed = await this.options.send(address, order).catch(() => false);
    this.inFlight -= 1;
    engine.isBusy = false;
    if (isConfirmed) {
      engine.confirmedText = text;
      engine.backoff.reset();
    }
    // Content that changed during the request is sent immediately.
    const pauseMs = isConfirmed ? REPEAT_AFTER_MS : engine.backoff.nextDelayMs();
    engine.nextAtMs = engine.text === text ? monotonicMs() + pauseMs : 0;
  }
}

function contentFor(backend: BackendIntent, document: IntentDocument): OrderContent {
  const models = document.models
    .filter((model) => backend.models.includes(model.id))
    .map(({ id, version, adapters }) => ({ id, version, adapters }));
  return { role: backend.state, models };
}
