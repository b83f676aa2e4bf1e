/** Emulated weight store, which serves models at a limited rate. */
import { z } from 'zod';
import { addStatusPages } from '../status-pages.js';
import { sleep } from '../../src/common/index.js';
import { HttpRouter, HttpServer, sendJson } from '../../src/http/index.js';
import type { Logger } from '../../src/observability/index.js';
import {
  durationWithDefault,
  logSettingsSchema,
  nodeSettingsSchema,
  port,
} from '../../src/settings/index.js';

export const weightsSettingsSchema = z.strictObject({
  node: nodeSettingsSchema,
  listen: z.strictObject({ host: z.string().default('127.0.0.1'), port }),
  /** Duration of one transfer. */
  transferTime: durationWithDefault('200ms'),
  /** Maximum number of concurrent transfers; further ones wait. */
  maxTransfers: z.number().int().positive().default(4),
  log: logSettingsSchema.prefault({}),
});

export type WeightsSettings = z.infer<typeof weightsSettingsSchema>;

const QUEUE_POLL_MS = 10;

export class WeightsServer {
  private active = 0;

  private constructor(private readonly server: HttpServer) {}

  static async start(settings: WeightsSettings, logger: Logger): Promise<WeightsServer> {
    const router = new HttpRouter();
    addStatusPages(router);
    const server = await HttpServer.start({
      host: settings.listen.host,
      port: settings.listen.port,
      router,
      onError: (description) => logger.error('request failed', { description }),
    });
    const weights = new WeightsServer(server);
    router.on('GET', '/v1/weights/:key', async ({ response, parameters }) => {
      while (weights.active >= settings.maxTransfers) await sleep(QUEUE_POLL_MS);
      weights.active += 1;
      await sleep(settings.transferTime);
      weights.active -= 1;
      sendJson(response, 200, { key: parameters.key });
    });
    return weights;
  }

  get port(): number {
    return this.server.port;
  }

  async stop(): Promise<void> {
    await this.server.drain();
  }
}
