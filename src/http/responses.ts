/** Writes complete responses, and waits until they are sent. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { type HttpProblem, problemBody, problemHeaders } from './problem.js';

/** Calls `listener` before the head of the response is written, explicitly or by its first data. */
export function onHead(response: ServerResponse, listener: () => void): void {
  const writeHead = response.writeHead.bind(response) as (...parts: unknown[]) => ServerResponse;
  response.writeHead = (...parts: unknown[]): ServerResponse => {
    if (!response.headersSent) listener();
    return writeHead(...parts);
  };
}

export function sendProblem(response: ServerResponse, error: HttpProblem): void {
  const body = problemBody(error.problem);
  response.writeHead(error.problem.status, {
    ...problemHeaders(error.problem),
    'content-length': Buffer.byteLength(body),
  });
  response.end(body);
}

export function sendJson(
  response: ServerResponse,
  status: number,
  value: unknown,
  headers: Record<string, string> = {},
): void {
  const body = JSON.stringify(value);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
    ...headers,
  });
  response.end(body);
}

/** Resolves once the response is sent completely or its connection is closed. */
export async function waitUntilSent(
  { socket }: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  if (response.writableFinished || socket.destroyed) return;
  await new Promise<void>((resolve) => {
    const finish = (): void => {
      response.off('close', finish);
      socket.off('close', finish);
      resolve();
    };
    response.once('close', finish);
    // A response that is queued behind another one gets no `close` event.
    socket.once('close', finish);
  });
}
