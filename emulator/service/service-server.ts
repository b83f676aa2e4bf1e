/**
 * Emulated services and tools. They do not deduplicate requests: every execution is recorded, so that
 * the consistency checks detect a request that was executed twice.
 */
import { z } from 'zod';
import { SeededRandom, hash64Hex, sleep } from '../../src/common/index.js';
import {
  type HttpExchange,
  HttpRouter,
  HttpServer,
  badRequestProblem,
  readJson,
  sendJson,
} from '../../src/http/index.js';
import {
  durationWithDefault,
  logSettingsSchema,
  nodeSettingsSchema,
  port,
} from '../../src/settings/index.js';
import type { Logger } from '../../src/observability/index.js';
import { appendRecord } from '../record-file.js';
import { addStatusPages } from '../status-pages.js';

export const serviceSettingsSchema = z.strictObject({
  node: nodeSettingsSchema,
  listen: z.strictObject({ host: z.string().default('127.0.0.1'), port }),
  /** Mean execution time; exponentially distributed. */
  meanLatency: durationWithDefault('5ms'),
  seed: z.number().int().default(1),
  /** File to which every execution is appended, for checks after a crash. */
  recordFile: z.string().optional(),
  log: logSettingsSchema.prefault({}),
});

export type ServiceSettings = z.infer<typeof serviceSettingsSchema>;

const MAX_BODY_BYTES = 8 * 1024 * 1024;

export interface ServiceExecution {
  /** `program/sequence/attempt`. */
  key: string;
  service: string;
  operation: string;
  payload: string;
  wallClockMs: number;
}

const faultSchema = z.object({
  /** `hang`: executes, but never responds; `error`: responds with status 500 without executing. */
  mode: z.enum(['none', 'hang', 'error']),
  count: z.number().int().min(0).default(1),
});

/** The answer of a service to a payload; callers compute it to verify what they received. */
export function expectedServiceAnswer(service: string, operation: string, payload: string): string {
  return `done:${hash64Hex(`${service}|${operation}|${payload}`)}`;
}

export class ServiceServer {
  private readonly executions: ServiceExecution[] = [];
  private readonly random: SeededRandom;
  private fault: z.infer<typeof faultSchema> = { mode: 'none', count: 0 };
  private server!: HttpServer;

  private constructor(private readonly settings: ServiceSettings) {
    this.random = new SeededRandom(settings.seed);
  }

  static async start(settings: ServiceSettings, logger: Logger): Promise<ServiceServer> {
    const service = new ServiceServer(settings);
    const router = new HttpRouter()
      .on('POST', '/v1/services/:service/:operation', (exchange) => service.execute(exchange))
      .on('GET', '/v1/records', async ({ response }) =>
        sendJson(response, 200, { executions: service.executions }),
      )
      .on('POST', '/v1/faults', async ({ request, response }) => {
        service.fault = faultSchema.parse(await readJson(request, MAX_BODY_BYTES));
        sendJson(response, 200, {});
      });
    const executions = { name: 'executions', help: 'Requests executed so far' };
    addStatusPages(router, [{ ...executions, read: () => service.executions.length }]);
    service.server = await HttpServer.start({
      host: settings.listen.host,
      port: settings.listen.port,
      router,
      onError: (description) => logger.error('request failed', { description }),
    });
    return service;
  }

  get port(): number {
    return this.server.port;
  }

  async stop(): Promise<void> {
    await this.server.drain();
  }

  private async execute({ request, response, parameters }: HttpExchange): Promise<void> {
    const key = request.headers['x-execution-key'];
    if (typeof key !== 'string') throw badRequestProblem('x-execution-key header is missing');
    const body = z
      .object({ payload: z.string() })
      .safeParse(await readJson(request, MAX_BODY_BYTES));
    if (!body.success) throw badRequestProblem('request body has no payload string');
    const service = parameters.service!;
    const operation = parameters.operation!;
    const fault = this.consumeFault();
    if (fault === 'error') throw badRequestProblem('injected service fault', 'service_failed', 500);
    const { payload } = body.data;
    const execution = { key, service, operation, payload, wallClockMs: Date.now() };
    this.executions.push(execution);
    appendRecord(this.settings.recordFile, { kind: 'service-execution', ...execution });
    if (fault === 'hang') return;
    await sleep(this.random.exponential(this.settings.meanLatency));
    const answer = expectedServiceAnswer(service, operation, payload);
    sendJson(response, 200, { answer });
  }

  private consumeFault(): 'none' | 'hang' | 'error' {
    if (this.fault.count <= 0) return 'none';
    this.fault.count -= 1;
    return this.fault.mode;
  }
}
