/** Counters and latency histograms of forwarded calls. */
import { Counter, Gauge, Histogram, Registry } from 'prom-client';
import type { ReservationStep } from '../ledger/index.js';
import type { VersionCount } from './backend-view.js';
import type { SendRecord } from './send-measurement.js';
import { versionLabelOf } from './stream-version.js';

const LATENCY_BUCKETS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2];

export class ForwardingMetrics {
  readonly registry = new Registry();
  /** Duration of reservations at the ledger, in seconds. */
  readonly reservation: Histogram;
  private readonly calls: Counter<'kind' | 'outcome'>;
  private readonly resumptions: Counter<'by' | 'outcome'>;
  private readonly brokenSends: Counter<'reason'>;
  private readonly shutdownCalls: Counter<'outcome'>;
  private readonly earlierEvents: Counter<'outcome'>;
  private readonly failedReservations: Counter<'step'>;
  private readonly allowanceTurns: Counter;
  private readonly unusedTokens: Counter<'reason'>;
  private readonly duration: Histogram<'kind'>;
  private readonly firstEvent: Histogram;

  constructor() {
    const registers = [this.registry];
    const buckets = LATENCY_BUCKETS;
    this.calls = new Counter({
      name: 'ledgegauge_forwarded_calls_total',
      help: 'Forwarded calls by kind of route and outcome',
      labelNames: ['kind', 'outcome'],
      registers,
    });
    this.resumptions = new Counter({
      name: 'ledgegauge_stream_resumptions_total',
      help: 'Calls whose stream was resumed by their caller, or by this gateway within the response',
      labelNames: ['by', 'outcome'],
      registers,
    });
    this.brokenSends = new Counter({
      name: 'ledgegauge_broken_sends_total',
      help: 'Sends to a back end whose response is missing or incomplete, by reason',
      labelNames: ['reason'],
      registers,
    });
    this.shutdownCalls = new Counter({
      name: 'ledgegauge_shutdown_calls_total',
      help: 'Calls that ended since the process was asked to stop, by outcome',
      labelNames: ['outcome'],
      registers,
    });
    this.earlierEvents = new Counter({
      name: 'ledgegauge_earlier_events_total',
      help: 'Kept turns whose stream was resumed, by whether the events before were read again or are missing',
      labelNames: ['outcome'],
      registers,
    });
    this.failedReservations = new Counter({
      name: 'ledgegauge_failed_reservations_total',
      help: 'Turns refused at a step of their reservation',
      labelNames: ['step'],
      registers,
    });
    this.allowanceTurns = new Counter({
      name: 'ledgegauge_allowance_turns_total',
      help: 'Turns that ran on an allowance of their program instead of a reservation',
      registers,
    });
    this.unusedTokens = new Counter({
      name: 'ledgegauge_unused_quota_tokens_total',
      help: "Tokens of tenants' limits whose calls have not run, by reason; they are not returned",
      labelNames: ['reason'],
      registers,
    });
    this.duration = new Histogram({
      name: 'ledgegauge_forwarded_call_seconds',
      help: 'From the arrival of a call to its final answer',
      labelNames: ['kind'],
      buckets,
      registers,
    });
    this.firstEvent = new Histogram({
      name: 'ledgegauge_forwarded_first_event_seconds',
      help: 'From the arrival of a streaming call to its first event',
      buckets,
      registers,
    });
    this.reservation = new Histogram({
      name: 'ledgegauge_reservation_seconds',
      help: 'Time of a reservation at the ledger',
      buckets,
      registers,
    });
  }

  /** Adds a gauge of the backends that accept new calls, read at each scrape. */
  addBackendsGauge(count: () => readonly VersionCount[]): void {
    new Gauge({
      name: 'ledgegauge_backends',
      help: 'Back ends that accept new calls, by service and version of their software',
      labelNames: ['service', 'version'],
      registers: [this.registry],
      collect() {
        this.reset();
        for (const { service, softwareVersion, backends } of count())
          this.inc({ service, version: versionLabelOf(softwareVersion) }, backends);
      },
    });
  }

  noteFailedReservation(step: ReservationStep): void {
    this.failedReservations.inc({ step });
  }

  noteUnusedToken(reason: string): void {
    this.unusedTokens.inc({ reason });
  }

  noteAllowanceTurn(): void {
    this.allowanceTurns.inc();
  }

  noteEarlierEvents(outcome: 'read' | 'missing'): void {
    this.earlierEvents.inc({ outcome });
  }

  noteBrokenSend(reason: NonNullable<SendRecord['brokenReason']>): void {
    this.brokenSends.inc({ reason });
  }

  noteShutdownCall(outcome: string): void {
    this.shutdownCalls.inc({ outcome });
  }

  noteResumption(by: 'caller' | 'gateway', outcome: string): void {
    this.resumptions.inc({ by, outcome });
  }

  noteCall(
    kind: string | undefined,
    outcome: string,
    tookMs: number,
    firstEventMs: number | undefined,
  ): void {
    const label = kind ?? 'unknown';
    this.calls.inc({ kind: label, outcome });
    this.duration.observe({ kind: label }, tookMs / 1_000);
    if (firstEventMs !== undefined) this.firstEvent.observe(firstEventMs / 1_000);
  }
}
