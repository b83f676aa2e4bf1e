/**
 * Callers that send calls out of order, delayed duplicates, duplicates through all gateways and calls
 * above the budget.
 */
import { sleep } from '../../../src/common/index.js';
import type { Fleet } from '../../fleet/fleet.js';
import type { HistoryRecorder } from '../history-recorder.js';
import {
  type RawGatewayClient,
  type RawCall,
  answerContent,
  callPath,
  isNotRun,
} from './raw-gateway-client.js';

const PAUSE_MS = 100;
const MAX_ATTEMPTS = 40;
const BUDGET = 100_000;

export interface CallerProbesOptions {
  fleet: Fleet;
  gateways: RawGatewayClient;
  recorder: HistoryRecorder;
  /** Distinguishes payloads of this seed. */
  seed: number;
  signal: AbortSignal;
}

export class CallerProbes {
  private counter = 0;

  constructor(private readonly options: CallerProbesOptions) {}

  /** Runs until the signal is aborted. */
  async run(): Promise<void> {
    const { signal } = this.options;
    while (!signal.aborted) {
      await Promise.all([this.sendOutOfOrder(), this.sendDuplicates(), this.exceedBudget()]);
      await sleep(PAUSE_MS, signal);
    }
  }

  /** A call is rejected as out of order; delayed duplicates arrive after its predecessor ended. */
  private async sendOutOfOrder(): Promise<void> {
    const program = await this.open(BUDGET);
    if (program === undefined) return;
    const early = this.serviceCall(program, 2, 'early');
    const refused = await this.send(early.call);
    if (!this.recordIfRefused(early.payload, refused)) return;
    const first = this.serviceCall(program, 1, 'first');
    if (!(await this.sendUntilAnswered(first.call))) return;
    const copies = [0, 1].map((gateway) => this.send({ ...early.call, gateway, isResend: true }));
    await Promise.all(copies);
    const resubmitted = this.serviceCall(program, 2, 'renewed', 2);
    await this.sendUntilAnswered(resubmitted.call);
  }

  /** Sends the same submission through all gateways, then once more. */
  private async sendDuplicates(): Promise<void> {
    const program = await this.open(BUDGET);
    if (program === undefined) return;
    const { call, payload } = this.serviceCall(program, 1, 'copy');
    const { gateways, recorder } = this.options;
    const sends = Array.from({ length: gateways.count }, (_, gateway) =>
      this.send({ ...call, gateway, isResend: gateway % 2 === 1 }),
    );
    const exchanges = await Promise.all(sends);
    exchanges.push(await this.send({ ...call, gateway: this.counter, isResend: true }));
    const answers = exchanges.map(answerContent).filter((answer) => answer !== undefined);
    const copied = { program, sequence: 1, payload, isRepeatable: false, answers };
    recorder.history.copiedCalls.push(copied);
  }

  /** Sends a call above the budget through two gateways. */
  private async exceedBudget(): Promise<void> {
    const insufficientBudget = 1;
    const program = await this.open(insufficientBudget);
    if (program === undefined) return;
    const first = this.serviceCall(program, 1, 'covered');
    if (!(await this.sendUntilAnswered(first.call))) return;
    const { call, payload } = this.serviceCall(program, 2, 'uncovered');
    const exchange = await this.send(call);
    if (!this.recordIfRefused(payload, exchange)) return;
    await this.send({ ...call, gateway: call.gateway + 1, isResend: true });
  }

  private recordIfRefused(
    payload: string,
    exchange: Awaited<ReturnType<RawGatewayClient['send']>>,
  ): boolean {
    if (exchange.kind !== 'problem' || !isNotRun(exchange)) return false;
    const { code } = exchange.problem;
    this.options.recorder.history.refusedPayloads.push({ payload, code });
    return true;
  }

  private async open(budget: number): Promise<string | undefined> {
    const { fleet } = this.options;
    const { deployment } = fleet.plan;
    const gateway = this.counter++;
    const body = { model: deployment.model, budget };
    const tenant = deployment.tenants[0]!;
    const exchange = await this.send({
      gateway,
      tenant,
      method: 'POST',
      path: '/v1/programs',
      body,
    });
    if (exchange.kind !== 'document') return undefined;
    return String((exchange.body as { id: unknown }).id);
  }

  private serviceCall(
    program: string,
    sequence: number,
    purpose: string,
    submission = 1,
  ): { call: RawCall; payload: string } {
    const { fleet, seed } = this.options;
    const { deployment } = fleet.plan;
    const payload = `${purpose}-${seed}-${program}-${sequence}-${submission}`;
    const name = deployment.serviceNames.at(-1)!;
    const body = { service: { name, operation: 'write', payload }, repeatable: false };
    const call: RawCall = {
      gateway: this.counter++,
      tenant: deployment.tenants[0]!,
      method: 'POST',
      path: callPath(program, sequence),
      body,
      submission,
    };
    return { call, payload };
  }

  /** Retries a call until it is answered; returns false if it is not. */
  private async sendUntilAnswered(call: RawCall): Promise<boolean> {
    let { gateway, submission = 1 } = call;
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      const exchange = await this.send({ ...call, gateway, submission, isResend: attempt > 0 });
      if (answerContent(exchange) !== undefined) return true;
      if (exchange.kind === 'problem') {
        if (!exchange.problem.sendAgain) return false;
        if (exchange.problem.outcome === 'not_run') {
          submission = exchange.problem.nextSubmission ?? submission + 1;
        }
      }
      gateway += 1;
      await sleep(PAUSE_MS);
    }
    return false;
  }

  private send(call: RawCall): ReturnType<RawGatewayClient['send']> {
    return this.options.gateways.send(call);
  }
}
