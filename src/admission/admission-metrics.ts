/** Metrics of shared admission at a gateway. */
import { Counter, Gauge, type Registry } from 'prom-client';
import { addGauge } from '../observability/index.js';
import type { HeldAdmission } from './held-admission.js';

export class AdmissionMetrics {
  private readonly decisions: Counter<'service' | 'outcome'>;
  private readonly ownLimits: Counter<'service'>;

  constructor(registry: Registry, held: HeldAdmission, clock: () => number) {
    const registers = [registry];
    this.decisions = new Counter({
      name: 'ledgegauge_admission_first_turns_total',
      help: 'First turns of programs by decision of shared admission',
      labelNames: ['service', 'outcome'],
      registers,
    });
    this.ownLimits = new Counter({
      name: 'ledgegauge_admission_without_leader_total',
      help: "First turns to which the gateway's own limit applied because no leader had decided",
      labelNames: ['service'],
      registers,
    });
    addGauge(
      registry,
      'ledgegauge_admission_decision_age_seconds',
      "Age of the leader's decision in force",
      () => held.ageMs(clock()) / 1_000,
    );
    new Gauge({
      name: 'ledgegauge_admission_fraction',
      help: 'Admitted fraction of programs; only of limited services',
      labelNames: ['service', 'priority'],
      registers,
      collect() {
        this.reset();
        for (const { service, priority, fraction } of held.fractions(clock())) {
          this.set({ service, priority }, fraction);
        }
      },
    });
    new Gauge({
      name: 'ledgegauge_admission_pressure',
      help: 'Expected calls in flight as a fraction of the slots; only of limited services',
      labelNames: ['service'],
      registers,
      collect() {
        this.reset();
        for (const { service } of held.fractions(clock())) {
          this.set({ service }, held.pressureOf(service) ?? 0);
        }
      },
    });
  }

  noteDecision(service: string, isAdmitted: boolean, isCurrent: boolean): void {
    this.decisions.inc({ service, outcome: isAdmitted ? 'admitted' : 'refused' });
    if (!isCurrent) this.ownLimits.inc({ service });
  }
}
