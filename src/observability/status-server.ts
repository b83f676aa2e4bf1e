/** HTTP server for `/healthz`, `/readyz` and `/metrics` (Prometheus text format). */
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { Registry } from 'prom-client';
import { createProbeServer } from '../http/probe-server.js';

export interface StatusServerOptions {
  host: string;
  port: number;
  registry: Registry;
  /** Whether the process is ready to serve requests. */
  isReady: () => boolean;
}

const HTTP_OK = 200;
const HTTP_NOT_FOUND = 404;
const HTTP_UNAVAILABLE = 503;

export class StatusServer {
  private constructor(
    private readonly server: Server,
    readonly port: number,
  ) {}

  static async start(options: StatusServerOptions): Promise<StatusServer> {
    const server = createProbeServer((request, response) => {
      void createPage(options, request.url ?? '/').then((page) => {
        response.writeHead(page.status, { 'content-type': page.contentType });
        response.end(page.body);
      });
    });
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(options.port, options.host, resolve);
    });
    return new StatusServer(server, (server.address() as AddressInfo).port);
  }

  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}

interface StatusPage {
  status: number;
  contentType: string;
  body: string;
}

async function createPage(options: StatusServerOptions, path: string): Promise<StatusPage> {
  if (path === '/healthz') return textPage(HTTP_OK, 'ok\n');
  if (path === '/readyz') {
    return options.isReady()
      ? textPage(HTTP_OK, 'ready\n')
      : textPage(HTTP_UNAVAILABLE, 'not ready\n');
  }
  if (path === '/metrics') {
    const body = await options.registry.metrics();
    return { status: HTTP_OK, contentType: options.registry.contentType, body };
  }
  return textPage(HTTP_NOT_FOUND, 'not found\n');
}

function textPage(status: number, body: string): StatusPage {
  return { status, contentType: 'text/plain; charset=utf-8', body };
}
