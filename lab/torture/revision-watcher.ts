/** Watches on which revision each gateway acts, from outside: by its metrics page. */
import { sleep } from '../../src/common/index.js';
import type { Fleet } from '../fleet/fleet.js';
import { metricValue, readMetrics } from '../fleet/process-metrics.js';
import type { HistoryRecorder } from './history-recorder.js';

const POLL_MS = 100;
const TIMEOUT_MS = 300;

export class RevisionWatcher {
  private readonly stopping = new AbortController();
  /** Latest revision of each gateway that may act; absent when it may not or does not answer. */
  private readonly acting = new Map<string, number>();
  private tasks: Promise<void>[] = [];

  constructor(
    private readonly fleet: Fleet,
    private readonly recorder: HistoryRecorder,
  ) {}

  start(): void {
    this.tasks = this.fleet
      .ofKind('gateway')
      .map(({ name, plan }) => this.watch(name, plan.statusAddress!));
  }

  async stop(): Promise<void> {
    this.stopping.abort();
    await Promise.all(this.tasks);
  }

  /** Waits until no gateway acts on an earlier revision; notes how long that took. */
  async waitUntilInEffect(
    revision: number,
    acceptedAtMs: number,
    patienceMs: number,
  ): Promise<void> {
    const isInForce = (): boolean => [...this.acting.values()].every((acted) => acted >= revision);
    while (!isInForce() && Date.now() - acceptedAtMs < patienceMs) await sleep(POLL_MS / 4);
    const afterMs = isInForce() ? Date.now() - acceptedAtMs : undefined;
    this.recorder.history.inForce.push({ revision, afterMs });
  }

  private async watch(gateway: string, address: string): Promise<void> {
    const { signal } = this.stopping;
    while (!signal.aborted) {
      const revision = await readActingRevision(address).catch(() => undefined);
      if (revision === undefined) {
        this.acting.delete(gateway);
      } else {
        this.acting.set(gateway, revision);
        this.recorder.history.sightings.push({ gateway, revision, atMs: Date.now() });
      }
      await sleep(POLL_MS, signal);
    }
  }
}

async function readActingRevision(address: string): Promise<number | undefined> {
  const page = await readMetrics(address, TIMEOUT_MS);
  if (metricValue(page, 'ledgegauge_gateway_lease_held') !== 1) return undefined;
  return metricValue(page, 'ledgegauge_gateway_revision');
}
