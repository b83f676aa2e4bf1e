/** TCP proxy that injects faults into its links on request, each link independently. */
import { type Server, createServer } from 'node:net';
import { z } from 'zod';
import { addStatusPages } from '../status-pages.js';
import {
  HttpRouter,
  HttpServer,
  badRequestProblem,
  readJson,
  sendJson,
} from '../../src/http/index.js';
import type { Logger } from '../../src/observability/index.js';
import {
  type FaultProxySettings,
  type LinkFault,
  type LinkSettings,
  linkFaultSchema,
} from './fault-proxy-settings.js';
import { ProxiedConnection } from './proxied-connection.js';

const MAX_BODY_BYTES = 1024 * 1024;
const NO_FAULT: LinkFault = linkFaultSchema.parse({});

const faultRequestSchema = z.strictObject({
  /** Link names; `*` matches any text. */
  links: z.array(z.string()),
  fault: linkFaultSchema.prefault({}),
});

class Link {
  fault: LinkFault = NO_FAULT;
  private readonly connections = new Set<ProxiedConnection>();
  private server!: Server;

  constructor(readonly settings: LinkSettings) {}

  async listen(host: string): Promise<void> {
    this.server = createServer((socket) => {
      if (this.fault.cut) {
        socket.resetAndDestroy();
        return;
      }
      if (this.fault.halfOpen) {
        socket.on('error', () => undefined);
        return;
      }
      const { target, baseDelayMs } = this.settings;
      const conditions = (): { fault: LinkFault; baseDelayMs: number } => ({
        fault: this.fault,
        baseDelayMs,
      });
      const connection = new ProxiedConnection(socket, target, conditions, (closed) =>
        this.connections.delete(closed),
      );
      this.connections.add(connection);
    });
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(this.settings.port, this.settings.host ?? host, resolve);
    });
  }

  setFault(fault: LinkFault): void {
    this.fault = fault;
    if (fault.cut) this.resetConnections();
    else if (!fault.toTarget.drop && !fault.toClient.drop) this.resetConnectionsWithLoss();
  }

  close(): void {
    this.server.close();
    this.resetConnections();
  }

  /** Resets connections that lost bytes to a drop fault: their TCP stream can't continue. */
  private resetConnectionsWithLoss(): void {
    for (const connection of [...this.connections]) if (connection.hasLostBytes) connection.reset();
  }

  private resetConnections(): void {
    for (const connection of [...this.connections]) connection.reset();
  }
}

export class FaultProxy {
  private readonly links = new Map<string, Link>();
  private controlServer!: HttpServer;

  private constructor(private readonly logger: Logger) {}

  static async start(settings: FaultProxySettings, logger: Logger): Promise<FaultProxy> {
    const proxy = new FaultProxy(logger);
    for (const linkSettings of settings.links) {
      const link = new Link(linkSettings);
      await link.listen(settings.listen.host);
      proxy.links.set(linkSettings.id, link);
    }
    proxy.controlServer = await HttpServer.start({
      host: settings.listen.host,
      port: settings.listen.controlPort,
      router: proxy.createRouter(),
      onError: (description) => logger.error('request failed', { description }),
    });
    return proxy;
  }

  async stop(): Promise<void> {
    for (const link of this.links.values()) link.close();
    this.controlServer.close();
  }

  /**
   * Sets the fault of the matching links.
   * @param names link names; `*` matches any text
   * @returns number of links changed
   */
  setFault(names: string[], fault: LinkFault): number {
    const changed = this.matchLinks(names);
    for (const link of changed) link.setFault(fault);
    this.logger.info('fault set', { links: names.join(','), count: changed.length });
    return changed.length;
  }

  private createRouter(): HttpRouter {
    const router = new HttpRouter()
      .on('POST', '/v1/faults', async ({ request, response }) => {
        const body = faultRequestSchema.safeParse(await readJson(request, MAX_BODY_BYTES));
        if (!body.success) throw badRequestProblem(body.error.message);
        sendJson(response, 200, { changed: this.setFault(body.data.links, body.data.fault) });
      })
      .on('GET', '/v1/links', async ({ response }) =>
        sendJson(
          response,
          200,
          [...this.links.values()].map(({ settings, fault }) => ({ ...settings, fault })),
        ),
      );
    addStatusPages(router);
    return router;
  }

  private matchLinks(patterns: string[]): Link[] {
    const regExps = patterns.map(
      (pattern) => new RegExp(`^${pattern.split('*').map(escapeRegExp).join('.*')}$`),
    );
    return [...this.links.values()].filter(({ settings }) =>
      regExps.some((regExp) => regExp.test(settings.id)),
    );
  }
}

function escapeRegExp(text: string): string {
  return text.replace(/[.*+?^${}()|[\]\\]/g, '\\$&');
}
