/** Drains the server of a process that was asked to stop, so that no request ends without a complete response. */
import { monotonicMs, sleep } from '../common/index.js';
import type { GracefulShutdown } from './graceful-shutdown.js';

export interface DrainableConnections {
  /** Connections whose caller may still be sending the rest of a refused request; each is closed after a time limit. */
  readonly lingeringConnections: number;
  /** Connections with received bytes that are not parsed yet, which may be requests. @default none */
  readonly unparsedConnections?: number;
  /** Stops accepting connections; open ones may finish their requests. */
  stopListening(): void;
  /** Closes the connections without a request. */
  closeIdle(): void;
}

export interface DrainableServer {
  readonly connections: DrainableConnections;
  /** Requests that are received in part, wait, are handled, or whose response is not sent yet. */
  readonly activeRequests: number;
  /** From now on responses close their connections. */
  startDraining(): void;
  /** Refuses the requests that are received in part, and could not be handled in time if they were complete now. */
  refuseLateRequests(): void;
  /** Closes all connections. */
  close(): void;
}

export interface DrainOptions {
  server: DrainableServer;
  shutdown: GracefulShutdown;
  /** Ends the calls in progress with a final response; resolves once all have one. */
  interruptCalls: () => Promise<void>;
}

const POLL_MS = 50;
const FLUSH_POLL_MS = 10;

/**
 * Accepts connections until callers have had time to leave, and serves requests that can be completed in time. Closes the
 * server once no request is left, or when the time is up and all calls have been given a final response.
 * @returns the number of requests whose response could not be sent completely
 */
export async function drainServer({
  server,
  shutdown,
  interruptCalls,
}: DrainOptions): Promise<number> {
  server.startDraining();
  while (shutdown.allows(monotonicMs())) {
    server.refuseLateRequests();
    if (shutdown.hasNoticeEnded) {
      server.connections.stopListening();
      server.connections.closeIdle();
      if (isDone(server)) break;
    }
    await sleep(POLL_MS);
  }
  server.connections.stopListening();
  server.refuseLateRequests();
  await interruptCalls();
  await waitUntilSent(server, shutdown);
  const unsent = server.activeRequests;
  server.close();
  return unsent;
}

async function waitUntilSent(server: DrainableServer, shutdown: GracefulShutdown): Promise<void> {
  for (;;) {
    // Also those whose head has arrived in the meantime.
    server.refuseLateRequests();
    if (isDone(server) || monotonicMs() >= shutdown.responsesDueAt) return;
    await sleep(FLUSH_POLL_MS);
  }
}

function isDone({ activeRequests, connections }: DrainableServer): boolean {
  const { lingeringConnections, unparsedConnections = 0 } = connections;
  return activeRequests + lingeringConnections + unparsedConnections === 0;
}
