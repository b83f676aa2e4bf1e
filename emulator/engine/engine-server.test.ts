/** HTTP interface of the emulated engine. */
import { request } from 'undici';
import { describe, expect, it, onTestFinished } from 'vitest';
import { EventParser } from '../../src/http/index.js';
import { createLogger, setLogLevel } from '../../src/observability/index.js';
import { expectedAnswer } from '../model/answer-text.js';
import { EngineServer } from './engine-server.js';
import { engineSettingsSchema } from './engine-settings.js';

setLogLevel('error');
const MESSAGES = [{ role: 'user', content: 'word '.repeat(800) }];
const MAX_TOKENS = 64;
const TIME_SCALE = 0.02;
const SLOW_TRANSFER_MS = 0.5;

interface Usage {
  prompt_tokens: number;
  prompt_tokens_details: { cached_tokens: number };
}

interface Chunk {
  choices: [{ delta: { content?: string } }];
  usage?: Usage;
}

async function startEngine(): Promise<string> {
  const settings = engineSettingsSchema.parse({
    node: { name: 'engine', zone: 'zone' },
    listen: { port: 0 },
    timeScale: TIME_SCALE,
    model: { transferMsPerToken: SLOW_TRANSFER_MS },
  });
  const engine = await EngineServer.start(settings, createLogger({ name: 'engine' }));
  onTestFinished(() => engine.stop());
  return `http://127.0.0.1:${engine.port}`;
}

async function post(url: string, body: object): Promise<{ status: number; text: string }> {
  const response = await request(url, { method: 'POST', body: JSON.stringify(body) });
  return { status: response.statusCode, text: await response.body.text() };
}

function completionBody(overrides: object = {}): object {
  const call = { tenant: 't', program: 'p', sequence: 1, attempt: 1, cost_ceiling: 100_000 };
  const ledgegauge = { ...call, ...overrides };
  return { model: 'm', messages: MESSAGES, max_tokens: MAX_TOKENS, ledgegauge };
}

function readStream(text: string): { content: string; usage: Usage } {
  const events = new EventParser().push(text).filter((event) => event.data !== '[DONE]');
  const chunks = events.map((event) => JSON.parse(event.data) as Chunk);
  const content = chunks.map((piece) => piece.choices[0].delta.content ?? '').join('');
  return { content, usage: chunks.at(-1)!.usage! };
}

async function complete(
  url: string,
  overrides: object = {},
): Promise<ReturnType<typeof readStream>> {
  const response = await post(`${url}/v1/chat/completions`, completionBody(overrides));
  expect(response.status).toBe(200);
  return readStream(response.text);
}

describe('EngineServer', () => {
  it('streams an answer from the start or from an offset while the stream is retained', async () => {
    const url = await startEngine();
    const { content } = await complete(url);
    expect(content).toBe(expectedAnswer('m', MESSAGES, MAX_TOKENS));
    const rest = await request(`${url}/v1/streams/p/1?attempt=1&from=20`);
    expect(readStream(await rest.body.text()).content).toBe(content.slice(20));
    const unknown = await request(`${url}/v1/streams/p/1?attempt=2&from=0`);
    expect(unknown.statusCode).toBe(404);
    await unknown.body.dump();
  });

  it('serves health and metrics endpoints', async () => {
    const url = await startEngine();
    await complete(url);
    const health = await request(`${url}/healthz`);
    expect(health.statusCode).toBe(200);
    await health.body.dump();
    const metrics = await (await request(`${url}/metrics`)).body.text();
    expect(metrics).toContain('ledgegauge_emulator_arrivals 1\n');
    expect(metrics).toContain('process_cpu_seconds_total');
  });

  it('rejects stale attempts and requests over the cost ceiling', async () => {
    const url = await startEngine();
    await complete(url, { attempt: 2 });
    const stale = await post(`${url}/v1/chat/completions`, completionBody({ attempt: 1 }));
    expect([stale.status, JSON.parse(stale.text)]).toMatchObject([409, { code: 'fenced' }]);
    const overCeiling = await post(
      `${url}/v1/chat/completions`,
      completionBody({ cost_ceiling: 10 }),
    );
    expect([overCeiling.status, JSON.parse(overCeiling.text)]).toMatchObject([
      422,
      { code: 'over_ceiling' },
    ]);
  });

  it('rejects new requests while draining, and orders with a stale fence', async () => {
    const url = await startEngine();
    const models = [{ id: 'm', version: 'v1', adapters: [] }];
    await post(`${url}/v1/orders`, { fence: 7, role: 'draining', models });
    const refused = await post(`${url}/v1/chat/completions`, completionBody());
    expect([refused.status, JSON.parse(refused.text)]).toMatchObject([
      503,
      { code: 'draining', outcome: 'not_run', retry_after_ms: expect.any(Number) as number },
    ]);
    const stale = await post(`${url}/v1/orders`, { fence: 6, role: 'active', models });
    expect(stale.status).toBe(409);
    await post(`${url}/v1/orders`, { fence: 8, role: 'active', models });
    await complete(url);
  });

  it('transfers a cached prefix to another engine at the configured bandwidth', async () => {
    const [first, second] = [await startEngine(), await startEngine()];
    await complete(first);
    const prefix = { tenant: 't', program: 'p', model: 'm', messages: MESSAGES };
    const startedAt = performance.now();
    const exported = await post(`${first}/v1/kv/export`, prefix);
    const { hashes } = JSON.parse(exported.text) as { hashes: string[] };
    expect(hashes.length).toBeGreaterThan(10);
    // 64 tokens per block, 0.5 ms of model time per token.
    const expectedMs = hashes.length * 64 * SLOW_TRANSFER_MS * TIME_SCALE;
    expect(performance.now() - startedAt).toBeGreaterThanOrEqual(expectedMs - 1);
    await post(`${second}/v1/kv/import`, { program: 'p', hashes });
    const { usage } = await complete(second);
    expect(usage.prompt_tokens_details.cached_tokens).toBeGreaterThan(600);
  });
});
