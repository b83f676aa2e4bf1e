/**
 * Brings engines to what the current revision says of them (role, models, versions, adapters) by
 * orders fenced with the revision. Runs on the leader of the intents group. A revision costs orders
 * to the engines that it changes only; all engines are told again in turn, at a bounded rate, because
 * one that restarted has forgotten its order.
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
/** An engine is told again after this time. */
const REPEAT_AFTER_MS = 5_000;
/** Engines told again in one tick, at most. */
const REPEATS_PER_TICK = 40;
/** Orders under way, at most: a zone that is gone must not keep the leader busy. */
const MAX_PARALLEL = 64;

type OrderContent = Omit<EngineOrder, 'fence'>;

/** What is known of one engine's order. */
class EngineOrderState {
  /** The content that the engine confirmed last, as text. */
  confirmedText: string | undefined;
  /** Not to be told again before this time (monotonic, milliseconds). */
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
  private parallel = 0;

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

  /** Tells the task that there is a new revision. */
  notify(): void {
    this.wake.notify();
  }

  private async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const { revision, document } = this.options.current();
      if (revision !== this.knownRevision) this.takeRevision(revision, document);
      this.sendDue();
      await this.wake.waitWithTimeout(TICK_MS);
    }
  }

  private takeRevision(revision: number, document: IntentDocument): void {
    this.knownRevision = revision;
    const present = new Set<string>();
    for (const backend of document.backends) {
      if (backend.kind !== 'engine') continue;
      present.add(backend.id);
      this.takeEngine(backend, document);
    }
    for (const id of this.engines.keys()) if (!present.has(id)) this.engines.delete(id);
  }

  private takeEngine(backend: BackendIntent, document: IntentDocument): void {
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
    const room = MAX_PARALLEL - this.parallel;
    for (const engine of [...changed, ...repeated].slice(0, room)) {
      void this.deliver(engine);
    }
  }

  private async deliver(engine: EngineOrderState): Promise<void> {
    const { address, content, text } = engine;
    engine.isBusy = true;
    this.parallel += 1;
    const order = { fence: this.knownRevision, ...content };
    const isConfirmed = await this.options.send(address, order).catch(() => false);
    this.parallel -= 1;
    engine.isBusy = false;
    if (isConfirmed) {
      engine.confirmedText = text;
      engine.backoff.reset();
    }
    // A change that came meanwhile is due at once.
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
