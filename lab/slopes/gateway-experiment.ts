/** Measures the cost of calls, streamed tokens and load polls for a gateway. */
import { type Server, type Socket, connect, createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { LoadFetcher } from '../../src/backends/index.js';
import { Backend } from '../../src/backends/index.js';
import { ProgramClient } from '../../src/client/index.js';
import { monotonicMs, sleep } from '../../src/common/index.js';
import { parseAddress } from '../../src/wire/index.js';
import { createWorkFolder, removeWorkFolder } from '../cli/work-folder.js';
import { Fleet } from '../fleet/fleet.js';
import type { Deployment } from '../fleet/topology.js';
import { readProcessCpuSeconds } from '../fleet/process-metrics.js';
import type { Point } from './linear-fit.js';
import { type SlopeExperiment, createSlope } from './slope.js';

const SINGLE_GATEWAY: Deployment = {
  name: 'pipeline',
  zones: ['zone-1'],
  controlZones: ['zone-1', 'zone-1', 'zone-1'],
  engines: { name: 'engine', count: 4 },
  services: { name: 'service', count: 1 },
  serviceNames: ['status'],
  model: 'model-1',
  tenants: ['tenant-1'],
  zoneDelayMs: 0,
  clientDelayMs: 0,
};
const TIME_SCALE = 0.02;
const WORKER_COUNTS = [1, 2, 4, 8, 12];
const TOKEN_LIMITS = [8, 32, 128, 512];
const TOKEN_WORKERS = 4;
const MEASUREMENT_MS = 4_000;
const POLL_RATES = [100, 200, 400, 800];
const POLL_COUNTS = [10, 20, 40, 80];
const POLL_MEASUREMENT_MS = 2_000;
const MS_PER_SECOND = 1_000;

interface LoadResult {
  callsPerSecond: number;
  tokensPerSecond: number;
  gatewayCpuMs: number;
}

export const gatewayExperiment: SlopeExperiment = {
  name: 'gateway',
  async run(report) {
    const workFolder = createWorkFolder('slopes');
    const options = { deployment: SINGLE_GATEWAY, workFolder, timeScale: TIME_SCALE };
    const fleet = await Fleet.up({ ...options, journalGroups: 4, seed: 1 });
    const calls: Point[] = [];
    for (const workers of WORKER_COUNTS) {
      report(`${workers} callers`);
      const result = await runWorkers(fleet, workers, TOKEN_LIMITS[0]!);
      calls.push({ x: result.callsPerSecond, y: result.gatewayCpuMs });
    }
    const tokens: Point[] = [];
    for (const maxTokens of TOKEN_LIMITS) {
      report(`answers of up to ${maxTokens} tokens`);
      const result = await runWorkers(fleet, TOKEN_WORKERS, maxTokens);
      const processorMsPerCall = result.gatewayCpuMs / result.callsPerSecond;
      tokens.push({ x: result.tokensPerSecond / result.callsPerSecond, y: processorMsPerCall });
    }
    const polls = await measurePolls(fleet, report);
    const bytes = await measurePollBytes(fleet);
    await fleet.down();
    removeWorkFolder(workFolder);
    const role = 'gateway' as const;
    return [
      createSlope(
        {
          name: 'gateway.call-cpu',
          role,
          driver: 'model calls a second, short answers',
          quantity: 'processor ms a second',
        },
        calls,
      ),
      createSlope(
        {
          name: 'gateway.token-cpu',
          role,
          driver: 'tokens of an answer, streamed',
          quantity: 'processor ms a call',
        },
        tokens,
      ),
      createSlope(
        {
          name: 'poll.cpu',
          role,
          driver: 'questions for load a second',
          quantity: 'processor ms a second',
        },
        polls,
      ),
      createSlope(
        { name: 'poll.bytes', role, driver: 'questions for load', quantity: 'bytes' },
        bytes,
      ),
    ];
  },
};

async function runWorkers(fleet: Fleet, workers: number, maxTokens: number): Promise<LoadResult> {
  const { clientGateways, tenantKeys } = fleet.plan;
  const client = new ProgramClient({ gateways: clientGateways, apiKey: tenantKeys['tenant-1']! });
  const [gateway] = fleet.ofKind('gateway');
  const counts = { calls: 0, tokens: 0 };
  const before = await readProcessCpuSeconds(gateway!.plan.statusAddress!);
  const startedAt = monotonicMs();
  const runWorker = async (worker: number): Promise<void> => {
    while (monotonicMs() - startedAt < MEASUREMENT_MS) {
      const program = await client.openProgram({ model: 'model-1' });
      for (let call = 0; call < 4; call += 1) {
        const content = `worker ${worker} call ${counts.calls}`;
        const { usage } = await program.call([{ role: 'user', content }], maxTokens);
        counts.calls += 1;
        counts.tokens += usage?.outputTokens ?? 0;
      }
      await program.end();
    }
  };
  await Promise.all(Array.from({ length: workers }, (_, index) => runWorker(index)));
  const seconds = (monotonicMs() - startedAt) / MS_PER_SECOND;
  const after = await readProcessCpuSeconds(gateway!.plan.statusAddress!);
  await client.close();
  return {
    callsPerSecond: counts.calls / seconds,
    tokensPerSecond: counts.tokens / seconds,
    gatewayCpuMs: ((after - before) * MS_PER_SECOND) / seconds,
  };
}

async function measurePolls(fleet: Fleet, report: (step: string) => void): Promise<Point[]> {
  const fetcher = new LoadFetcher((address) => address);
  const backends = createEngineBackends(fleet);
  const points: Point[] = [];
  for (const rate of POLL_RATES) {
    report(`${rate} questions for load a second`);
    const startedAt = monotonicMs();
    const cpuBefore = process.cpuUsage();
    const running: Promise<unknown>[] = [];
    while (monotonicMs() - startedAt < POLL_MEASUREMENT_MS) {
      const due = ((monotonicMs() - startedAt) * rate) / MS_PER_SECOND;
      while (running.length < due) {
        running.push(fetcher.fetch(backends[running.length % backends.length]!));
      }
      await sleep(5);
    }
    await Promise.all(running);
    const { user, system } = process.cpuUsage(cpuBefore);
    const seconds = (monotonicMs() - startedAt) / MS_PER_SECOND;
    points.push({ x: running.length / seconds, y: (user + system) / MS_PER_SECOND / seconds });
  }
  await fetcher.close();
  return points;
}

async function measurePollBytes(fleet: Fleet): Promise<Point[]> {
  const [engine] = createEngineBackends(fleet);
  const proxy = await CountingProxy.start(engine!.intent.address);
  const fetcher = new LoadFetcher(() => proxy.address);
  await fetcher.fetch(engine!);
  const points: Point[] = [];
  for (const count of POLL_COUNTS) {
    const before = proxy.bytes;
    for (let index = 0; index < count; index += 1) await fetcher.fetch(engine!);
    points.push({ x: count, y: proxy.bytes - before });
  }
  await fetcher.close();
  proxy.stop();
  return points;
}

function createEngineBackends(fleet: Fleet): Backend[] {
  const { backends } = fleet.plan.intents;
  return backends.filter(({ kind }) => kind === 'engine').map((intent) => new Backend(intent, 1));
}

/** TCP proxy that counts the bytes in both directions. */
class CountingProxy {
  bytes = 0;
  private readonly sockets = new Set<Socket>();

  private constructor(private readonly server: Server) {}

  static async start(target: string): Promise<CountingProxy> {
    const server = createServer();
    const proxy = new CountingProxy(server);
    server.on('connection', (client) => proxy.pipe(client, connect(parseAddress(target))));
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    return proxy;
  }

  get address(): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  stop(): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  private pipe(client: Socket, target: Socket): void {
    for (const [from, to] of [
      [client, target],
      [target, client],
    ] as const) {
      this.sockets.add(from);
      from.on('error', () => undefined);
      from.on('data', (chunk: Buffer) => {
        this.bytes += chunk.length;
        to.write(chunk);
      });
    }
  }
}
