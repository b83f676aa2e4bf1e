/** Sends single requests to the gateways of a fleet, without the retries of the client library. */
import { type Exchange, Transport } from '../../../src/client/transport.js';
import type { Fleet } from '../../fleet/fleet.js';

const CONNECT_TIMEOUT_MS = 500;
const SILENCE_TIMEOUT_MS = 6_000;

export interface RawCall {
  /** Position in the fleet's list of gateways. */
  gateway: number;
  tenant: string;
  method: 'GET' | 'POST';
  path: string;
  body?: unknown;
  submission?: number;
  isResend?: boolean;
}

export class RawGatewayClient {
  private readonly transport = new Transport(CONNECT_TIMEOUT_MS);

  constructor(private readonly fleet: Fleet) {}

  get count(): number {
    return this.fleet.plan.clientGateways.length;
  }

  send(call: RawCall): Promise<Exchange> {
    const { clientGateways, tenantKeys } = this.fleet.plan;
    const headers: Record<string, string> = {
      authorization: `Bearer ${tenantKeys[call.tenant]}`,
      'ledgegauge-submission': String(call.submission ?? 1),
    };
    if (call.isResend) headers['ledgegauge-resend'] = 'true';
    const { method, path, body } = call;
    const gateway = clientGateways[call.gateway % this.count]!;
    return this.transport.exchange({
      gateway,
      method,
      path,
      headers,
      body,
      silenceMs: SILENCE_TIMEOUT_MS,
    });
  }

  close(): Promise<void> {
    return this.transport.close();
  }
}

export function callPath(program: string, sequence: number): string {
  return `/v1/programs/${program}/calls/${sequence}`;
}

/** Returns the content of an answered call; undefined if there is none. */
export function answerContent(exchange: Exchange): string | undefined {
  if (exchange.kind === 'answer') return exchange.answer.content;
  if (exchange.kind !== 'document') return undefined;
  const body = exchange.body as { choices?: { message: { content: string } }[] };
  return body.choices?.[0]?.message.content;
}

/** Tells whether the response states that the request was not run. */
export function isNotRun(exchange: Exchange): boolean {
  return exchange.kind === 'problem' && exchange.problem.outcome === 'not_run';
}
