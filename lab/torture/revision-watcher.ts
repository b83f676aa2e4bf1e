/** Polls the metrics of the gateways for their active configuration revision. */
import { sleep } from '../../src/common/index.js';
import type { Fleet } from '../fleet/fleet.js';
import { metricValue, readMetrics } from '../fleet/process-metrics.js';
import type { HistoryRecorder } from './history-recorder.js';

const POLL_INTERVAL_MS = 100;
const REQUEST_TIMEOUT_MS = 300;

export class RevisionWatcher {
  private readonly stopController = new AbortController();
  /** Active revision of each gateway that holds a lease and responds. */
  private readonly activeRevisions = new Map<string, number>();
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
    this.stopController.abort();
    await Promise.all(this.tasks);
  }

  /** Waits until no gateway uses an earlier revision, and records the elapsed time. */
  async waitUntilInEffect(
    revision: number,
    acceptedAtMs: number,
    timeoutMs: number,
  ): Promise<void> {
    const isInEffect = (): boolean =>
      [...this.activeRevisions.values()].every((acted) => acted >= revision);
    while (!isInEffect() && Date.now() - acceptedAtMs < timeoutMs)
      await sleep(POLL_INTERVAL_MS / 4);
    const afterMs = isInEffect() ? Date.now() - acceptedAtMs : undefined;
    this.recorder.history.inForce.push({ revision, afterMs });
  }

  private async watch(gateway: string, address: string): Promise<void> {
    const { signal } = this.stopController;
    while (!signal.aborted) {
      const revision = await readActiveRevision(address).catch(() => undefined);
      if (revision === undefined) {
        this.activeRevisions.delete(gateway);
      } else {
        this.activeRevisions.set(gateway, revision);
        this.recorder.history.sightings.push({ gateway, revision, atMs: Date.now() });
      }
      await sleep(POLL_INTERVAL_MS, signal);
    }
  }
}

async function readActiveRevision(address: string): Promise<number | undefined> {
  const page = await readMetrics(address, REQUEST_TIMEOUT_MS);
  if (metricValue(page, 'ledgegauge_gateway_lease_held') !== 1) return undefined;
  return metricValue(page, 'ledgegauge_gateway_revision');
}
