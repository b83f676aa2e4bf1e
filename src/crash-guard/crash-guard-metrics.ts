/** Counters and gauges of requests under which back ends end. */
import { Counter, type Registry } from 'prom-client';
import { addGauge } from '../observability/index.js';

export interface CrashGuardGauges {
  suspects: () => number;
  unreported: () => number;
}

export class CrashGuardMetrics {
  private readonly losses: Counter;
  private readonly sends: Counter<'decision'>;

  constructor(private readonly registry: Registry) {
    const registers = [registry];
    this.losses = new Counter({
      name: 'ledgegauge_lost_responses_total',
      help: 'Responses that were lost, so that their back end may have ended',
      registers,
    });
    this.sends = new Counter({
      name: 'ledgegauge_suspect_sends_total',
      help: 'Requests to be sent under which a back end may have ended, by decision',
      labelNames: ['decision'],
      registers,
    });
  }

  observe({ suspects, unreported }: CrashGuardGauges): void {
    addGauge(
      this.registry,
      'ledgegauge_suspect_requests',
      'Requests under which a back end may have ended',
      suspects,
    );
    addGauge(
      this.registry,
      'ledgegauge_unreported_losses',
      'Lost responses that no leader has counted yet',
      unreported,
    );
  }

  noteLoss(): void {
    this.losses.inc();
  }

  noteSend(decision: 'granted' | 'pending' | 'blocked'): void {
    this.sends.inc({ decision });
  }
}
