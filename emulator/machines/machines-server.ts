/** Emulates the platform's list of live and leaving machines, which shows changes with a delay. */
import { z } from 'zod';
import { addStatusPages } from '../status-pages.js';
import { HttpRouter, HttpServer, readJson, sendJson } from '../../src/http/index.js';
import type { Logger } from '../../src/observability/index.js';
import {
  durationWithDefault,
  logSettingsSchema,
  nodeSettingsSchema,
  port,
} from '../../src/settings/index.js';

export const machinesSettingsSchema = z.strictObject({
  node: nodeSettingsSchema,
  listen: z.strictObject({ host: z.string().default('127.0.0.1'), port }),
  /** Delay until a change becomes visible. */
  lag: durationWithDefault('1s'),
  log: logSettingsSchema.prefault({}),
});

export type MachinesSettings = z.infer<typeof machinesSettingsSchema>;

const MAX_BODY_BYTES = 1024 * 1024;
const machineSchema = z.object({ id: z.string(), state: z.enum(['live', 'leaving', 'gone']) });

interface DelayedMachine extends z.infer<typeof machineSchema> {
  visibleAtMs: number;
}

export class MachinesServer {
  private readonly changes: DelayedMachine[] = [];

  private constructor(private readonly server: HttpServer) {}

  static async start(settings: MachinesSettings, logger: Logger): Promise<MachinesServer> {
    const router = new HttpRouter();
    addStatusPages(router);
    const server = await HttpServer.start({
      host: settings.listen.host,
      port: settings.listen.port,
      router,
      onError: (description) => logger.error('request failed', { description }),
    });
    const machines = new MachinesServer(server);
    router
      .on('POST', '/v1/machines', async ({ request, response }) => {
        const machine = machineSchema.parse(await readJson(request, MAX_BODY_BYTES));
        machines.changes.push({ ...machine, visibleAtMs: performance.now() + settings.lag });
        sendJson(response, 200, {});
      })
      .on('GET', '/v1/machines', async ({ response }) =>
        sendJson(response, 200, { machines: machines.visibleMachines() }),
      );
    return machines;
  }

  get port(): number {
    return this.server.port;
  }

  async stop(): Promise<void> {
    await this.server.drain();
  }

  private visibleMachines(): z.infer<typeof machineSchema>[] {
    const latest = new Map<string, z.infer<typeof machineSchema>>();
    for (const { id, state, visibleAtMs } of this.changes) {
      if (visibleAtMs <= performance.now()) latest.set(id, { id, state });
    }
    return [...latest.values()];
  }
}
