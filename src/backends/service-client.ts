/** HTTP client of small services, such as build status, log retrieval, heartbeats and payments. */
import { Agent } from 'undici';
import { z } from 'zod';
import { backendConnector, readBoundedJson } from '../http/index.js';
import { BackendProtocolError } from './errors.js';
import { callBackend } from './http-call.js';

export interface ServiceCall {
  service: string;
  operation: string;
  payload: string;
  /** Identifies the call and its attempt; equal for all copies of one attempt. */
  executionKey: string;
}

const CONNECT_TIMEOUT_MS = 500;
const MAX_ANSWER_BYTES = 32 * 1024 * 1024;
const answerSchema = z.object({ answer: z.string() });

export class ServiceClient {
  private readonly agent = new Agent({ connect: backendConnector(CONNECT_TIMEOUT_MS) });

  /**
   * Sends one call without retries.
   * @param timeoutMs maximum time until the response
   * @throws BackendError
   */
  async execute(address: string, call: ServiceCall, timeoutMs: number): Promise<string> {
    const service = encodeURIComponent(call.service);
    const operation = encodeURIComponent(call.operation);
    const response = await callBackend(this.agent, {
      step: 'service.execute',
      address,
      method: 'POST',
      path: `/v1/services/${service}/${operation}`,
      headers: { 'x-execution-key': call.executionKey },
      body: { payload: call.payload },
      headersTimeoutMs: timeoutMs,
      idleTimeoutMs: timeoutMs,
    });
    try {
      const bounds = { maxBytes: MAX_ANSWER_BYTES, timeoutMs };
      return answerSchema.parse(await readBoundedJson(response.body, bounds)).answer;
    } catch (cause) {
      throw new BackendProtocolError('invalid response body', {
        step: 'service.execute',
        peer: address,
        cause,
      });
    }
  }

  close(): Promise<void> {
    return this.agent.destroy();
  }
}
