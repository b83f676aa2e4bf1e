/**
 * Server of a port for probes and metrics. It takes few connections and small requests, and reads no bodies, so that it
 * answers and costs little whatever is sent to it.
 */
import { type RequestListener, type Server, type ServerOptions, createServer } from 'node:http';
import type { ConnectionLimits } from './connection-limits.js';
import { ServerConnections } from './server-connections.js';

const LIMITS: ConnectionLimits = {
  maxConnections: 32,
  maxWaitingRequests: 32,
  unreadTimeoutMs: 2_000,
};
const OPTIONS: ServerOptions = {
  maxHeaderSize: 8 * 1024,
  headersTimeout: 2_000,
  requestTimeout: 3_000,
  connectionsCheckingInterval: 1_000,
};

/** @param answer must answer without reading the request's body */
export function createProbeServer(answer: RequestListener): Server {
  const server = createServer(OPTIONS);
  const connections = new ServerConnections(server, { limits: LIMITS });
  server.on('request', (request, response) => {
    request.on('error', () => undefined);
    response.on('error', () => undefined);
    const turn = connections.enter(request, response);
    turn.noteReceived({ begin: () => answer(request, response), drop: () => undefined });
  });
  return server;
}
