/** Requests that the control processes send to engines: releases of memory and fenced orders. */
import { type Agent, request } from 'undici';

const REQUEST_TIMEOUT_MS = 2_000;
const HTTP_OK = 200;

export interface EngineOrder {
  /** Orders with a lower fence than one already taken are refused by the engine. */
  fence: number;
  role: 'active' | 'draining';
  /** Models with version and adapters that the engine shall have loaded. */
  models: { id: string; version: string; adapters: string[] }[];
}

/** Sends a request with a JSON body; resolves with whether the engine confirmed it. */
async function post(agent: Agent, address: string, path: string, body: unknown): Promise<boolean> {
  const response = await request(`http://${address}${path}`, {
    method: 'POST',
    dispatcher: agent,
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify(body),
    headersTimeout: REQUEST_TIMEOUT_MS,
    bodyTimeout: REQUEST_TIMEOUT_MS,
  });
  await response.body.dump();
  return response.statusCode === HTTP_OK;
}

/** Asks an engine to drop what it holds for programs that have ended. */
export function sendRelease(
  agent: Agent,
  address: string,
  programs: string[],
  fence: number,
): Promise<boolean> {
  return post(agent, address, '/v1/releases', { programs, fence });
}

export function sendOrder(agent: Agent, address: string, order: EngineOrder): Promise<boolean> {
  return post(agent, address, '/v1/orders', order);
}
