/** Decisions and reports of one gateway. */
import { Registry } from 'prom-client';
import { beforeEach, describe, expect, it } from 'vitest';
import { sampleCall } from '../../tests/support/sample-call.js';
import type { CallDescription } from '../forwarding/call-exchange.js';
import { createLogger } from '../observability/index.js';
import { encodeValue } from '../wire/index.js';
import { GatewayAdmission, type ModelCall } from './gateway-admission.js';
import type { PriorityAdmission, ServiceAdmission } from './messages.js';

const TYPICAL_MS = 200;
const MAX_REPORT_BYTES = 1_024;

let now = 0;
let isEnabled = true;
beforeEach(() => {
  now = 1_000;
  isEnabled = true;
});

function createGateway(registry = new Registry()): GatewayAdmission {
  return new GatewayAdmission({
    isEnabled: () => isEnabled,
    registry,
    logger: createLogger({}),
    clock: () => now,
  });
}

function turnOf(program: string, overrides: Partial<CallDescription> = {}): CallDescription {
  const promptParts = [{ id: 'own', tokens: 1 }];
  return sampleCall({ program: { id: program, session: 's' }, promptParts, ...overrides });
}

function callOf(program: string, overrides: Partial<ModelCall> = {}): ModelCall {
  return { service: 'engines', priority: 0, call: turnOf(program), ...overrides };
}

function decision(pressure: number, ...priorities: PriorityAdmission[]): ServiceAdmission[] {
  return [{ service: 'engines', pressure, priorities }];
}

function admits(gateway: GatewayAdmission, call: ModelCall): boolean {
  return gateway.decide(call, TYPICAL_MS).isAdmitted;
}

const REFUSE_ALL = decision(1.5, { priority: 0, fraction: 0, limited: [] });

describe('the decision at a gateway', () => {
  it('refuses first turns only', () => {
    const gateway = createGateway();
    gateway.apply(REFUSE_ALL);
    expect(admits(gateway, callOf('p'))).toBe(false);
    const later = turnOf('p', { previousTurn: 'before' });
    expect(admits(gateway, callOf('p', { call: later }))).toBe(true);
    expect(admits(gateway, callOf('p', { call: sampleCall() }))).toBe(true);
  });

  // The first turn of a sub-agent looks like that of a program.
  it('never refuses a sub-agent of a program that has begun', () => {
    const gateway = createGateway();
    gateway.apply([]);
    gateway.beginTurn(callOf('p'))();
    gateway.noteSent(turnOf('p'));
    gateway.apply(REFUSE_ALL);
    const subAgent = turnOf('p', { program: { id: 'p', session: 'sub' } });
    expect(admits(gateway, callOf('p', { call: subAgent }))).toBe(true);
  });

  // Otherwise a first turn that got no permit would pass when it is repeated, whatever the admitted fraction is.
  it('does not take a program for begun before a turn was sent', () => {
    const gateway = createGateway();
    gateway.apply([]);
    gateway.beginTurn(callOf('p'))();
    gateway.apply(REFUSE_ALL);
    expect(admits(gateway, callOf('p'))).toBe(false);
  });

  it('gives retries the same answer at all gateways, and admits the fraction', () => {
    const gateways = [createGateway(), createGateway()];
    for (const gateway of gateways) {
      gateway.apply(decision(1, { priority: 0, fraction: 0.4, limited: [] }));
    }
    const programs = Array.from({ length: 2_000 }, (_, index) => `p${index}`);
    const admitted = programs.filter((program) => {
      const answers = gateways.map((gateway) => admits(gateway, callOf(program)));
      expect(answers[0]).toBe(answers[1]);
      return answers[0];
    });
    expect(admitted.length / programs.length).toBeGreaterThan(0.36);
    expect(admitted.length / programs.length).toBeLessThan(0.44);
  });

  it('applies the fraction of a limited tenant to that tenant only', () => {
    const gateway = createGateway();
    const limited = [{ tenant: 'large', fraction: 0 }];
    gateway.apply(decision(1, { priority: 0, fraction: 0.5, limited }));
    expect(admits(gateway, callOf('a', { tenant: 'large' }))).toBe(false);
    expect(admits(gateway, callOf('b', { tenant: 'small' }))).toBe(true);
  });

  it('treats a priority that the leader has not seen like the next more urgent one', () => {
    const gateway = createGateway();
    const priorities = [0, 4].map((priority) => ({
      priority,
      fraction: priority === 0 ? 1 : 0,
      limited: [],
    }));
    gateway.apply(decision(1, ...priorities));
    expect(admits(gateway, callOf('a', { priority: 2 }))).toBe(true);
    expect(admits(gateway, callOf('b', { priority: 9 }))).toBe(false);
  });

  it('lets the last fractions rise to 1 while no leader answers, with its own limit', () => {
    const gateway = createGateway();
    gateway.apply(decision(1, { priority: 0, fraction: 0.2, limited: [] }));
    expect(gateway.fractionFor('engines', 0)).toBeCloseTo(0.2);
    expect(gateway.decide(callOf('p7'), TYPICAL_MS)).not.toEqual({
      isAdmitted: true,
      isFinal: false,
    });
    now += 1_500 + 2_000;
    expect(gateway.fractionFor('engines', 0)).toBeCloseTo(0.6);
    now += 2_000;
    expect(gateway.fractionFor('engines', 0)).toBe(1);
    expect(gateway.decide(callOf('q'), TYPICAL_MS)).toEqual({ isAdmitted: true, isFinal: false });
  });

  it('applies its own limit as well while a new leader has no reports', () => {
    const gateway = createGateway();
    gateway.apply([]);
    expect(gateway.decide(callOf('p'), TYPICAL_MS)).toEqual({ isAdmitted: true, isFinal: true });
    gateway.apply(undefined);
    expect(gateway.decide(callOf('q'), TYPICAL_MS)).toEqual({ isAdmitted: true, isFinal: false });
  });

  it('tells callers of refused programs to come back after at least a typical turn', () => {
    const gateway = createGateway();
    gateway.apply(REFUSE_ALL);
    const refused = gateway.decide(callOf('p'), TYPICAL_MS);
    expect(refused).toMatchObject({ isAdmitted: false });
    expect('retryAfterMs' in refused && refused.retryAfterMs).toBeGreaterThanOrEqual(TYPICAL_MS);
  });

  it('leaves every decision to its own limit in independent mode, and reports nothing', () => {
    isEnabled = false;
    const gateway = createGateway();
    gateway.apply(REFUSE_ALL);
    expect(gateway.decide(callOf('p'), TYPICAL_MS)).toEqual({ isAdmitted: true, isFinal: false });
    gateway.beginTurn(callOf('p'));
    expect(gateway.demand()).toBeUndefined();
  });
});

describe('the demand report of a gateway', () => {
  it('counts a session until 0.4 s after its turn, and a program once', () => {
    const gateway = createGateway();
    gateway.decide(callOf('p'), TYPICAL_MS);
    gateway.decide(callOf('p'), TYPICAL_MS);
    const endTurn = gateway.beginTurn(callOf('p'));
    const offered = [['', Math.round(Math.LN2 * 60)]];
    const priorities = [{ priority: 0, sessions: 1, offered }];
    expect(gateway.demand()).toEqual([{ service: 'engines', inFlight: 1, priorities }]);
    endTurn();
    now += 400;
    expect(gateway.demand()![0]).toMatchObject({ inFlight: 0, priorities: [{ sessions: 1 }] });
    now += 401;
    expect(gateway.demand()![0]).toMatchObject({ inFlight: 0, priorities: [{ sessions: 0 }] });
  });

  it('is sent at most once in 0.4 s, and an idle gateway reports a burst at once', () => {
    const gateway = createGateway();
    expect(gateway.demand()).toBeNull();
    gateway.beginTurn(callOf('p'));
    expect(gateway.demand()).toHaveLength(1);
    now += 399;
    expect(gateway.demand()).toBeNull();
    now += 1;
    expect(gateway.demand()).toHaveLength(1);
  });

  it('stays below 1 KB with many tenants, without losing any of their rate', () => {
    const gateway = createGateway();
    for (let index = 0; index < 300; index += 1) {
      const tenant = `a-tenant-with-a-long-name-${index}`;
      gateway.decide(callOf(`p${index}`, { tenant, priority: index % 3 }), TYPICAL_MS);
    }
    const report = gateway.demand()!;
    expect(encodeValue(report).length).toBeLessThan(MAX_REPORT_BYTES);
    const rates = report[0]!.priorities.flatMap(({ offered }) => offered.map(([, rate]) => rate));
    const total = rates.reduce((sum, rate) => sum + rate, 0);
    expect(total).toBe(300 * Math.round(Math.LN2 * 60));
  });
});

describe('metrics of shared admission', () => {
  it('count decisions and show the decision in force', async () => {
    const registry = new Registry();
    const gateway = createGateway(registry);
    gateway.apply(REFUSE_ALL);
    gateway.decide(callOf('p'), TYPICAL_MS);
    const text = await registry.metrics();
    for (const line of [
      'ledgegauge_admission_first_turns_total{service="engines",outcome="refused"} 1',
      'ledgegauge_admission_fraction{service="engines",priority="0"} 0',
      'ledgegauge_admission_pressure{service="engines"} 1.5',
    ]) {
      expect(text).toContain(line);
    }
    gateway.apply([]);
    expect(await registry.metrics()).not.toContain('ledgegauge_admission_fraction{');
  });

  it('do not exist in independent mode', async () => {
    isEnabled = false;
    const registry = new Registry();
    const gateway = createGateway(registry);
    gateway.decide(callOf('p'), TYPICAL_MS);
    expect(await registry.metrics()).toBe('\n');
  });
});
