/** HTTP client of the operator commands for the control API. */
import { randomUUID } from 'node:crypto';
import { request } from 'undici';
import { LedgegaugeError } from '../common/index.js';
import { readBoundedJson } from '../http/index.js';

/** The control API returned a problem or could not be reached. */
export class OperatorRequestError extends LedgegaugeError {}

export interface OperatorClientOptions {
  /** Operator addresses of control processes, tried in turn. */
  addresses: string[];
  key: string;
}

const MAX_ATTEMPTS = 6;
const TIMEOUT_MS = 8_000;
/** Documents have up to 32 MiB. */
const ANSWER_BOUNDS = { maxBytes: 64 * 1024 * 1024, timeoutMs: 60_000 };

export class OperatorClient {
  constructor(private readonly options: OperatorClientOptions) {}

  get<Answer>(path: string): Promise<Answer> {
    return this.send<Answer>('GET', path, undefined, undefined);
  }

  /** Posts with an idempotency key, so that the request can be repeated if its response is lost. */
  post<Answer>(
    path: string,
    body: unknown,
    idempotencyKey: string = randomUUID(),
  ): Promise<Answer> {
    return this.send<Answer>('POST', path, body, idempotencyKey);
  }

  private async send<Answer>(
    method: 'GET' | 'POST',
    path: string,
    body: unknown,
    idempotencyKey: string | undefined,
  ): Promise<Answer> {
    let lastError = '';
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      const address = this.options.addresses[attempt % this.options.addresses.length]!;
      try {
        const answer = await this.sendOnce(address, method, path, body, idempotencyKey);
        if (answer.status < 300) return answer.body as Answer;
        const problem = answer.body as { detail?: string; send_again?: boolean };
        lastError = problem.detail ?? `status ${answer.status}`;
        if (!problem.send_again) break;
      } catch (error) {
        lastError = error instanceof Error ? error.message : String(error);
      }
    }
    throw new OperatorRequestError(lastError, { step: `${method} ${path}` });
  }

  private async sendOnce(
    address: string,
    method: 'GET' | 'POST',
    path: string,
    body: unknown,
    idempotencyKey: string | undefined,
  ): Promise<{ status: number; body: unknown }> {
    const response = await request(`http://${address}${path}`, {
      method,
      headers: {
        authorization: `Bearer ${this.options.key}`,
        'content-type': 'application/json',
        ...(idempotencyKey === undefined ? {} : { 'idempotency-key': idempotencyKey }),
      },
      body: body === undefined ? null : JSON.stringify(body),
      headersTimeout: TIMEOUT_MS,
      bodyTimeout: TIMEOUT_MS,
    });
    const answer = await readBoundedJson(response.body, ANSWER_BOUNDS);
    return { status: response.statusCode, body: answer };
  }
}
