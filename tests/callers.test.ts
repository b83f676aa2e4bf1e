/** Tests the API for callers of real processes, including its handling of invalid input. */
import { connect } from 'node:net';
import { request } from 'undici';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { expectedAnswer } from '../emulator/model/answer-text.js';
import { type Program, type ProgramClient, CallFailedError } from '../src/client/index.js';
import { type SmallFleet, startSmallFleet } from './support/small-fleet.js';

const QUESTION = [{ role: 'user', content: 'does the build pass?' }];
const MAX_TOKENS = 64;

let small: SmallFleet;
let gateway: string;
let client: ProgramClient;

beforeAll(async () => {
  small = await startSmallFleet();
  gateway = small.fleet.plan.clientGateways[0]!;
  client = small.clientOf('health');
});
afterAll(() => small.down());

interface RawResponse {
  status: number;
  type: string;
  text: string;
  problem: { code: string; outcome: string; send_again: boolean; detail: string };
}

async function send(
  method: 'GET' | 'POST',
  path: string,
  body?: unknown,
  headers: Record<string, string> = {},
): Promise<RawResponse> {
  const response = await request(`http://${gateway}${path}`, {
    method,
    headers: { authorization: `Bearer ${small.fleet.plan.tenantKeys.health}`, ...headers },
    body: body === undefined ? null : typeof body === 'string' ? body : JSON.stringify(body),
  });
  const text = await response.body.text();
  const type = String(response.headers['content-type']);
  const problem = (type.includes('json') ? JSON.parse(text) : {}) as RawResponse['problem'];
  return { status: response.statusCode, type, text, problem };
}

function openProgram(budget?: number): Promise<Program> {
  return client.openProgram({ model: 'model', budget });
}

async function expectStillServing(): Promise<void> {
  const program = await openProgram();
  const answer = await program.call(QUESTION, MAX_TOKENS);
  expect(answer.content).toBe(expectedAnswer('model', QUESTION, MAX_TOKENS));
  await program.end();
}

describe('programs', () => {
  it('keep their history across calls through different gateways', async () => {
    const program = await openProgram();
    const first = await program.call(QUESTION, MAX_TOKENS);
    const [, second] = small.fleet.plan.clientGateways;
    const next = [{ role: 'user', content: 'and now?' }];
    const path = `http://${second}/v1/programs/${program.id}/calls/2`;
    const response = await request(path, {
      method: 'POST',
      headers: { authorization: `Bearer ${small.fleet.plan.tenantKeys.health}` },
      body: JSON.stringify({ messages: next, max_tokens: MAX_TOKENS }),
    });
    const document = (await response.body.json()) as {
      choices: { message: { content: string } }[];
    };
    const history = [...QUESTION, { role: 'assistant', content: first.content }, ...next];
    expect(document.choices[0]!.message.content).toBe(expectedAnswer('model', history, MAX_TOKENS));
  });

  it('return a recorded answer again, completely or from an offset', async () => {
    const program = await openProgram();
    const { content } = await program.call(QUESTION, MAX_TOKENS);
    expect((await program.fetch(1)).content).toBe(content);
    const rest = await send('GET', `/v1/programs/${program.id}/calls/1?from=10`);
    expect(rest.type).toBe('text/event-stream');
    const chunks = [...rest.text.matchAll(/data: (\{.*\})/g)].map(
      (match) => JSON.parse(match[1]!) as { choices: { delta: { content?: string } }[] },
    );
    const text = chunks.map((chunk) => chunk.choices[0]!.delta.content ?? '').join('');
    expect(text).toBe(content.slice(10));
  });

  it('are opened once for an idempotency key', async () => {
    const body = { model: 'model' };
    const headers = { 'idempotency-key': 'review-17' };
    const responses = await Promise.all(
      [1, 2].map(() => send('POST', '/v1/programs', body, headers)),
    );
    const ids = responses.map((response) => (JSON.parse(response.text) as { id: string }).id);
    expect(ids[0]).toBe(ids[1]);
  });

  it('end together with their sub-agents', async () => {
    const parent = await openProgram();
    const child = await client.openProgram({ model: 'model', parent: parent.id });
    await parent.end();
    await expect(child.call(QUESTION, MAX_TOKENS)).rejects.toMatchObject({
      problem: { code: 'program_ended', outcome: 'not_run', sendAgain: false },
    });
  });

  it('are limited to their budget, including sub-agents', async () => {
    const parent = await openProgram(120);
    const children = await Promise.all(
      [1, 2, 3].map(() => client.openProgram({ model: 'model', parent: parent.id })),
    );
    const results = await Promise.allSettled(
      children.map((child) => child.call(QUESTION, MAX_TOKENS)),
    );
    const refused = results.filter((result) => result.status === 'rejected');
    expect(refused.length).toBeGreaterThan(0);
    for (const { reason } of refused) {
      expect((reason as CallFailedError).problem.code).toBe('budget_exhausted');
    }
  });

  it('are stopped if they repeat a call too often', async () => {
    const limits = { maxRepeatedCalls: 2 };
    const program = await client.openProgram({ model: 'model', limits });
    await program.call(QUESTION, MAX_TOKENS);
    await program.call(QUESTION, MAX_TOKENS);
    await expect(program.call(QUESTION, MAX_TOKENS)).rejects.toMatchObject({
      problem: { code: 'looping' },
    });
  });
});

describe('plain chat completions', () => {
  const body = { model: 'model', messages: QUESTION, max_tokens: MAX_TOKENS };

  it('return one document', async () => {
    const response = await send('POST', '/v1/chat/completions', body);
    const document = JSON.parse(response.text) as { choices: { message: { content: string } }[] };
    expect(document.choices[0]!.message.content).toBe(
      expectedAnswer('model', QUESTION, MAX_TOKENS),
    );
  });

  it('return an event stream', async () => {
    const response = await send('POST', '/v1/chat/completions', { ...body, stream: true });
    expect(response.type).toBe('text/event-stream');
    expect(response.text.trimEnd().endsWith('data: [DONE]')).toBe(true);
  });

  it('return the same response for the same idempotency key', async () => {
    const headers = { 'idempotency-key': 'chat-1' };
    const first = await send('POST', '/v1/chat/completions', body, headers);
    const second = await send('POST', '/v1/chat/completions', body, headers);
    const idOf = (response: RawResponse): string =>
      (JSON.parse(response.text) as { id: string }).id;
    expect(idOf(second)).toBe(idOf(first));
  });
});

describe('invalid input', () => {
  const path = '/v1/programs';

  it.each<[string, number, string, string, () => Promise<RawResponse>]>([
    ['no JSON', 400, 'bad_request', 'not_run', () => send('POST', path, '{"model":')],
    ['a wrong type', 422, 'invalid_body', 'not_run', () => send('POST', path, { model: 7 })],
    [
      'an unknown field',
      422,
      'invalid_body',
      'not_run',
      () => send('POST', path, { model: 'model', x: 1 }),
    ],
    [
      'an unknown model',
      403,
      'model_not_allowed',
      'not_run',
      () => send('POST', path, { model: 'other' }),
    ],
    ['an unknown path', 404, 'not_found', 'not_run', () => send('GET', '/v2/programs')],
    ['an unknown program', 404, 'unknown_program', 'unknown', () => send('GET', `${path}/p123`)],
    [
      'a malformed program id',
      404,
      'unknown_program',
      'unknown',
      () => send('GET', `${path}/%2e%2e%00`),
    ],
    [
      'a malformed sequence number',
      400,
      'bad_request',
      'not_run',
      () => send('POST', `${path}/p1/calls/x`, { messages: QUESTION }),
    ],
    [
      'a body that is too long',
      413,
      'body_too_large',
      'not_run',
      () => send('POST', path, `"${'x'.repeat(9 * 1024 * 1024)}"`),
    ],
    [
      'a wrong key',
      401,
      'unauthorized',
      'unknown',
      () => send('POST', path, { model: 'model' }, { authorization: 'Bearer wrong' }),
    ],
    [
      'no key',
      401,
      'unauthorized',
      'unknown',
      () => send('GET', `${path}/p1`, undefined, { authorization: '' }),
    ],
  ])('reports %s as a problem document', async (_, status, code, outcome, sendRequest) => {
    const response = await sendRequest();
    expect(response.type).toBe('application/problem+json');
    expect(response.problem).toMatchObject({ status, code, outcome, send_again: false });
  });

  it('does not reveal whether another tenant’s program exists', async () => {
    const foreign = await small.clientOf('finance').openProgram({ model: 'model' });
    await foreign.call(QUESTION, MAX_TOKENS);
    const requests: ((id: string) => Promise<RawResponse>)[] = [
      (id) => send('GET', `${path}/${id}`),
      (id) => send('GET', `${path}/${id}/calls/1`),
      (id) => send('POST', `${path}/${id}/calls/2`, { messages: QUESTION }),
      (id) => send('POST', `${path}/${id}/end`, {}),
      (id) => send('POST', path, { model: 'model', parent: id }),
    ];
    for (const sendRequest of requests) {
      const [real, none] = [
        await sendRequest(foreign.id),
        await sendRequest('p000000000000000000000000'),
      ];
      expect(real.text).toBe(none.text);
    }
  });

  it('rejects calls out of order without running them', async () => {
    const program = await openProgram();
    const response = await send('POST', `${path}/${program.id}/calls/3`, { messages: QUESTION });
    expect(response.problem).toMatchObject({ code: 'out_of_order', outcome: 'not_run' });
  });

  it('rejects another call with a used sequence number', async () => {
    const program = await openProgram();
    await program.call(QUESTION, MAX_TOKENS);
    const other = { messages: [{ role: 'user', content: 'something else' }] };
    const response = await send('POST', `${path}/${program.id}/calls/1`, other);
    expect(response).toMatchObject({ status: 409, problem: { code: 'request_mismatch' } });
  });

  it('tolerates callers that disconnect during a request', async () => {
    const [host, port] = gateway.split(':');
    const sockets = Array.from({ length: 20 }, () => connect({ host, port: Number(port) }));
    await Promise.all(
      sockets.map(
        (socket) =>
          new Promise<void>((resolve) => {
            socket.on('error', () => undefined);
            socket.on('close', () => resolve());
            socket.write('POST /v1/programs HTTP/1.1\r\nhost: x\r\ncontent-length: 99\r\n\r\n{"mo');
            setImmediate(() => socket.destroy());
          }),
      ),
    );
    await expectStillServing();
  });
});

describe('faulty engines', () => {
  async function injectFault(mode: string, count: number): Promise<void> {
    await Promise.all(
      small.fleet.ofKind('engine').map(async (engine) => {
        const response = await request(`http://${engine.plan.address}/v1/faults`, {
          method: 'POST',
          body: JSON.stringify({ mode, count }),
        });
        await response.body.dump();
      }),
    );
  }

  it.each(['rubbish', 'half-event', 'nothing', 'cut'])(
    'with the fault %s do not affect the result of a call',
    async (mode) => {
      await injectFault(mode, 1);
      await expectStillServing();
      await injectFault('none', 0);
      await expectStillServing();
    },
  );
});
