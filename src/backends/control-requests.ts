/** Requests from the control processes to engines: cache releases and fenced orders. */
import { type Agent, request } from 'undici';

const REQUEST_TIMEOUT_MS = 2_000;
const HTTP_OK = 200;

export interface EngineOrder {
  /** Fencing token: the engine rejects orders with a lower fence than it has already accepted. */
  fence: number;
  role: 'active' | 'draining';
  /** Models, with version and adapters, that the engine must have loaded. */
  models: { id: string; version: string; adapters: string[] }[];
}

/** Sends a JSON request. @returns whether the engine confirmed it */
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

/** Asks an engine to release the cached prefixes of ended programs. */
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
