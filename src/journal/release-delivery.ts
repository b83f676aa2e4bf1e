/**
 * Delivers releases of ended programs' memory to backends. A release remains in the replicated state
 * until its backend confirms it, so a new leader resumes the delivery.
 */
import { Backoff, SignalEvent, sleep } from '../common/index.js';
import type { ReplicatedGroup } from '../consensus/index.js';
import type { JournalCommand } from './commands.js';
import type { JournalState } from './journal-state.js';

/**
 * Requests a backend to release the memory of ended programs.
 * @returns whether the backend confirmed, or was removed permanently
 */
export type ReleaseSender = (
  backend: string,
  programIds: string[],
  fence: number,
) => Promise<boolean>;

export interface ReleaseDeliveryOptions {
  group: ReplicatedGroup;
  state: JournalState;
  send: ReleaseSender;
  stamp: (command: JournalCommand) => Uint8Array;
}

const MAX_PROGRAMS_PER_REQUEST = 256;
const MAXIMUM_RETRY_DELAY_MS = 1_000;

export class ReleaseDelivery {
  private readonly wake = new SignalEvent();
  private readonly stopController = new AbortController();
  private readonly busyBackends = new Set<string>();

  constructor(private readonly options: ReleaseDeliveryOptions) {}

  start(): void {
    void this.run();
  }

  /** Wakes the delivery task after new releases. */
  notify(): void {
    this.wake.notify();
  }

  stop(): void {
    this.stopController.abort();
    this.wake.notify();
  }

  private async run(): Promise<void> {
    while (!this.stopController.signal.aborted) {
      for (const backend of this.backendsWithReleases()) {
        if (!this.busyBackends.has(backend)) void this.deliverTo(backend);
      }
      await this.wake.waitWithTimeout(MAXIMUM_RETRY_DELAY_MS);
    }
  }

  private backendsWithReleases(): Set<string> {
    return new Set([...this.options.state.releases.values()].flatMap((pending) => [...pending]));
  }

  /** Delivers to one backend, with retries, until it has no releases left. */
  private async deliverTo(backend: string): Promise<void> {
    this.busyBackends.add(backend);
    const backoff = new Backoff({ maximumMs: MAXIMUM_RETRY_DELAY_MS });
    while (!this.stopController.signal.aborted) {
      const programIds = this.releasesAt(backend);
      if (programIds.length === 0) break;
      const confirmed = await this.trySend(backend, programIds);
      if (confirmed) backoff.reset();
      else await sleep(backoff.nextDelayMs(), this.stopController.signal);
    }
    this.busyBackends.delete(backend);
  }

  private releasesAt(backend: string): string[] {
    const programIds: string[] = [];
    for (const [programId, pending] of this.options.state.releases) {
      if (pending.has(backend)) programIds.push(programId);
      if (programIds.length >= MAX_PROGRAMS_PER_REQUEST) break;
    }
    return programIds;
  }

  private async trySend(backend: string, programIds: string[]): Promise<boolean> {
    const { group, send, stamp } = this.options;
    try {
      const confirmed = await send(backend, programIds, group.commitIndex);
      if (!confirmed) return false;
      const commands = programIds.map((programId) =>
        group.propose(stamp({ type: 'released', programId, backend })),
      );
      await Promise.all(commands);
      return true;
    } catch {
      return false;
    }
  }
}
