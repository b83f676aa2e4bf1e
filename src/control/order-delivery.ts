/**
 * Brings engines to what the current revision says of them (role, models, versions, adapters) by
 * orders fenced with the revision. Runs on the leader of the intents group.
 */
import { Backoff, SignalEvent, sleep } from '../common/index.js';
import type { EngineOrder } from '../backends/control-requests.js';
import type { BackendIntent, IntentDocument } from '../intents/index.js';

export interface OrderDeliveryOptions {
  /** The current revision and document. */
  current: () => { revision: number; document: IntentDocument };
  send: (address: string, order: EngineOrder) => Promise<boolean>;
}

const MAXIMUM_RETRY_DELAY_MS = 1_000;
/** Orders are sent again now and then, for engines that restarted and forgot. */
const REPEAT_INTERVAL_MS = 5_000;

export class OrderDelivery {
  private readonly confirmed = new Map<string, number>();
  private readonly busy = new Set<string>();
  private readonly wake = new SignalEvent();
  private stopping = new AbortController();

  constructor(private readonly options: OrderDeliveryOptions) {}

  start(): void {
    this.stopping = new AbortController();
    this.confirmed.clear();
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
      for (const backend of document.backends) {
        const isDue = backend.kind === 'engine' && this.confirmed.get(backend.id) !== revision;
        if (isDue && !this.busy.has(backend.id)) void this.deliver(backend.id, signal);
      }
      await this.wake.waitUpTo(REPEAT_INTERVAL_MS);
      if (this.options.current().revision === revision) this.confirmed.clear();
    }
  }

  private async deliver(backendId: string, signal: AbortSignal): Promise<void> {
    this.busy.add(backendId);
    const backoff = new Backoff({ maximumMs: MAXIMUM_RETRY_DELAY_MS });
    while (!signal.aborted) {
      const { revision, document } = this.options.current();
      const backend = document.backends.find((candidate) => candidate.id === backendId);
      if (!backend || this.confirmed.get(backendId) === revision) break;
      const order = orderFor(backend, document, revision);
      const isConfirmed = await this.options.send(backend.address, order).catch(() => false);
      if (isConfirmed) this.confirmed.set(backendId, revision);
      else await sleep(backoff.nextDelayMs(), signal);
    }
    this.busy.delete(backendId);
  }
}

function orderFor(backend: BackendIntent, document: IntentDocument, revision: number): EngineOrder {
  const models = document.models
    .filter((model) => backend.models.includes(model.id))
    .map(({ id, version, adapters }) => ({ id, version, adapters }));
  return { fence: revision, role: backend.state, models };
}
