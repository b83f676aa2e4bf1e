/** Calls that arrive before the gateway has a configuration. */
import { describe, expect, it } from 'vitest';
import { RawBackend, close } from '../../tests/support/raw-backend.js';
import { rawProtocol } from '../../tests/support/raw-sends.js';
import { sampleCall } from '../../tests/support/sample-call.js';
import { monotonicMs } from '../common/index.js';
import { GroupClient, type PeerCaller } from '../consensus/index.js';
import { LedgerClient, LedgerRouter } from '../ledger/index.js';
import { createLogger } from '../observability/index.js';
import { type RouteConfiguration, RouteTable } from '../routes/index.js';
import { BackendView } from './backend-view.js';
import type { CallDescription, CallExchange, Refusal } from './call-exchange.js';
import { CallForwarder, type CallForwarderOptions } from './call-forwarder.js';
import { ForwardingMetrics } from './forwarding-metrics.js';
import { Placement } from './placement.js';

const CONFIGURATION: RouteConfiguration = {
  generation: 1,
  routes: [
    {
      name: 'r',
      host: 'h',
      pathPrefix: '/',
      kind: 'repeatable',
      timeoutMs: 1_000,
      objectiveMs: 100,
      priority: 0,
      parts: [{ service: 's', weight: 1 }],
      maxAttempts: 1,
      retainsTurns: false,
      retentionMs: 0,
      hasSessionAffinity: false,
      isResumable: false,
    },
  ],
  services: [{ name: 's', maxConnections: 10 }],
  limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
};

class RecordedExchange implements CallExchange {
  readonly arrivedAt = monotonicMs();
  readonly isAbandoned = false;
  refusal: Refusal | undefined;

  constructor(readonly description: CallDescription) {}

  onAbandoned(): void {}
  begin(): void {}
  write(): boolean {
    return true;
  }
  onDrained(): void {}
  end(): void {}
  abort(): void {}
  refuse(refusal: Refusal): void {
    this.refusal = refusal;
  }
}

function callTo(path: string): RecordedExchange {
  return new RecordedExchange(sampleCall({ id: 'a', path, method: 'GET', target: path }));
}

class StartingGateway {
  readonly forwarder: CallForwarder;
  private routes: RouteTable | undefined;

  constructor(
    sharedAdmission?: CallForwarderOptions['sharedAdmission'],
    backends = new BackendView({
      connections: () => 1,
      cacheTokens: () => Infinity,
      gateways: () => 1,
    }),
  ) {
    const logger = createLogger({});
    const peers: PeerCaller = {
      call: () => Promise.reject(new Error('nobody is there')),
      isConnected: () => false,
    };
    this.forwarder = new CallForwarder({
      routes: () => this.routes,
      directoryAgeMs: () => 0,
      findServiceVersions: () => Promise.reject(new Error('no directory in this test')),
      access: () => ({ kind: 'allowed', tenant: undefined }),
      quotas: {
        take: () => Promise.resolve({ isAllowed: true }),
        describe: () => ({}),
      },
      sharedAdmission,
      backends,
      placement: new Placement({ zone: 'z' }),
      ledger: new LedgerRouter(
        () => new LedgerClient(new GroupClient({ peers, addresses: [] }), logger, 'holder'),
      ),
      protocol: rawProtocol,
      logger,
      metrics: new ForwardingMetrics(),
    });
  }

  takeConfiguration(): void {
    this.routes = new RouteTable(CONFIGURATION);
  }
}

describe('a starting gateway', () => {
  // The wait for the first configuration is tested with the server that receives calls.
  it('refuses calls before its first configuration, with a retry delay', async () => {
    const { forwarder } = new StartingGateway();
    for (const refuse of [
      (exchange: RecordedExchange) => forwarder.handle(exchange),
      (exchange: RecordedExchange) => forwarder.refuseIncomplete(exchange, 'not-ready'),
    ]) {
      const exchange = callTo('/x');
      await refuse(exchange);
      expect(exchange.refusal?.reason).toBe('not-ready');
      expect(exchange.refusal?.retryAfterMs).toBeGreaterThan(200);
      expect(monotonicMs() - exchange.arrivedAt).toBeLessThan(1_000);
    }
  });
});

describe('shared admission', () => {
  const modelCall = (): RecordedExchange =>
    new RecordedExchange(
      sampleCall({
        id: 'a',
        path: '/x',
        program: { id: 'p' },
        promptParts: [{ id: 'own', tokens: 1 }],
      }),
    );

  it('refuses a call with its retry delay, and begins no turn', async () => {
    let begun = 0;
    const gateway = new StartingGateway({
      decide: () => ({ isAdmitted: false, retryAfterMs: 400, details: { admission: '0.20' } }),
      beginTurn: () => {
        begun += 1;
        return () => undefined;
      },
      noteSent: () => undefined,
    });
    gateway.takeConfiguration();
    const exchange = modelCall();
    await gateway.forwarder.handle(exchange);
    expect(exchange.refusal?.reason).toBe('not-admitted');
    expect(exchange.refusal?.retryAfterMs).toBeGreaterThanOrEqual(400);
    expect(begun).toBe(0);
  });

  // A turn that is never ended would count as active forever.
  it('ends the turn of a call that fails, and does not take it for sent', async () => {
    let active = 0;
    let sent = 0;
    const gateway = new StartingGateway({
      decide: () => ({ isAdmitted: true, isFinal: true }),
      beginTurn: () => {
        active += 1;
        return () => (active -= 1);
      },
      noteSent: () => (sent += 1),
    });
    gateway.takeConfiguration();
    const exchange = modelCall();
    await gateway.forwarder.handle(exchange);
    expect(exchange.refusal?.reason).toBe('no-backend');
    expect(active).toBe(0);
    expect(sent).toBe(0);
  });

  // Programs that are not noted as begun would be refused again, including their sub-agents.
  it('is told of a turn that was sent, even if it failed', async () => {
    const backend = await RawBackend.start(() => [close]);
    const limits = { connections: () => 1, cacheTokens: () => Infinity, gateways: () => 1 };
    const backends = new BackendView(limits);
    const identity = { id: 'e1', name: 'e1', service: 's', address: backend.address, zone: 'z' };
    const state = { slots: 6, phase: 'ready' as const, sequence: 1, isSilent: false };
    backends.update([{ ...identity, ...state }]);
    const sent: (string | undefined)[] = [];
    const admission = {
      decide: () => ({ isAdmitted: true as const, isFinal: true }),
      beginTurn: () => () => undefined,
      noteSent: ({ program }: CallDescription) => void sent.push(program?.id),
    };
    const gateway = new StartingGateway(admission, backends);
    gateway.takeConfiguration();
    await gateway.forwarder.handle(modelCall());
    await backend.stop();
    expect(sent).toEqual(['p']);
  });
});
