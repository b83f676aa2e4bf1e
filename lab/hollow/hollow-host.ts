/** A process full of hollow nodes and runners; started by `HollowProcess` only. */
import { DEFAULT_ENGINE_OPTIONS } from '../../emulator/model/engine-options.js';
import { EngineModel } from '../../emulator/model/engine-model.js';
import type { LoadReport } from '../../src/backends/index.js';
import {
  type HttpExchange,
  HttpRouter,
  HttpServer,
  readJson,
  sendJson,
} from '../../src/http/index.js';
import { createLogger, setLogLevel } from '../../src/observability/index.js';
import type {
  HollowCommand,
  HollowNodeState,
  HollowReply,
  HollowStatistics,
} from './hollow-messages.js';
import { HollowNode } from './hollow-node.js';
import { SharedDocuments } from './shared-documents.js';

type StartCommand = Extract<HollowCommand, { type: 'start' }>;

const EMPTY_LOAD: LoadReport = new EngineModel(DEFAULT_ENGINE_OPTIONS).load();
const MICROSECONDS_PER_MS = 1_000;
const MAX_BODY_BYTES = 1024 * 1024;
/** Nodes started together; a real fleet does not connect in one instant either. */
const START_BATCH = 50;

class HollowHost {
  private readonly nodes = new Map<string, HollowNode>();
  private readonly runners = new Map<string, EngineModel>();
  private readonly documents = new SharedDocuments();
  private loadPolls = 0;
  private start: StartCommand | undefined;

  async handle(command: HollowCommand): Promise<Omit<HollowReply, 'id'>> {
    switch (command.type) {
      case 'start':
        await this.startAll(command);
        return {};
      case 'listen':
        return { port: await this.listen() };
      case 'statistics':
        return { statistics: this.statistics() };
      case 'states':
        return { states: this.states() };
      case 'cut':
        for (const name of command.nodes) this.nodes.get(name)?.cut();
        return {};
      case 'heal':
        for (const name of command.nodes) this.nodes.get(name)?.heal();
        return {};
      case 'restart':
        for (const name of command.nodes) this.restart(name);
        return {};
      case 'stop':
        for (const node of this.nodes.values()) node.stop();
        return {};
    }
  }

  /** What control asks of engines; hollow ones hold nothing and take every order. */
  private async listen(): Promise<number> {
    const confirm = async ({ request, response }: HttpExchange): Promise<void> => {
      await readJson(request, MAX_BODY_BYTES);
      sendJson(response, 200, {});
    };
    const router = new HttpRouter()
      .on('POST', '/v1/orders', confirm)
      .on('POST', '/v1/releases', confirm)
      .on('GET', '/v1/programs', async ({ response }) => sendJson(response, 200, { held: [] }));
    const server = await HttpServer.start({ host: '127.0.0.1', port: 0, router });
    return server.port;
  }

  private async startAll(command: StartCommand): Promise<void> {
    this.start = command;
    for (const name of command.runners) {
      this.runners.set(name, new EngineModel(DEFAULT_ENGINE_OPTIONS));
    }
    for (const [index, node] of command.nodes.entries()) {
      this.startNode(node.name, node.zone);
      if (index % START_BATCH === 0) await new Promise((resolve) => setTimeout(resolve, 20));
    }
  }

  private startNode(name: string, zone: string): void {
    const { settings, sharesDocuments } = this.start!;
    const node = new HollowNode({
      ...settings,
      name,
      zone,
      fetchLoad: (engine) => this.fetchLoad(engine),
      logger: createLogger({ name }),
      documents: sharesDocuments ? this.documents : undefined,
    });
    this.nodes.set(name, node);
    node.start();
  }

  private restart(name: string): void {
    const node = this.nodes.get(name);
    if (!node) return;
    node.stop();
    this.startNode(name, node.options.zone);
  }

  private fetchLoad(engine: string): LoadReport {
    this.loadPolls += 1;
    // Runners in other processes are not asked for real; their answer would look the same.
    return this.runners.get(engine)?.load() ?? EMPTY_LOAD;
  }

  private statistics(): HollowStatistics {
    globalThis.gc?.();
    const { user, system } = process.cpuUsage();
    const { heapUsed, rss } = process.memoryUsage();
    const nodes = [...this.nodes.values()];
    return {
      cpuMs: (user + system) / MICROSECONDS_PER_MS,
      heapBytes: heapUsed,
      residentBytes: rss,
      controlBytes: nodes.reduce((sum, node) => sum + node.controlBytes, 0),
      loadPolls: this.loadPolls,
    };
  }

  private states(): HollowNodeState[] {
    return [...this.nodes.values()].map(({ options, lease, revisionSinceMs }) => ({
      name: options.name,
      zone: options.zone,
      isHeld: lease.isHeld,
      revision: lease.revision,
      revisionSinceMs,
    }));
  }
}

setLogLevel('error');
const host = new HollowHost();
process.on('message', ({ id, command }: { id: number; command: HollowCommand }) => {
  void host.handle(command).then((answer) => {
    process.send!({ id, ...answer } satisfies HollowReply);
    if (command.type === 'stop') process.disconnect();
  });
});
