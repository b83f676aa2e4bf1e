/** Tests what callers observe during injected failures of real processes. */
import { rmSync } from 'node:fs';
import { request } from 'undici';
import { afterAll, beforeAll, beforeEach, describe, expect, it } from 'vitest';
import { expectedAnswer } from '../emulator/model/answer-text.js';
import { EXIT_OK, EXIT_STORAGE } from '../src/cli/exit-codes.js';
import type { Program, ProgramClient } from '../src/client/index.js';
import { sleep } from '../src/common/index.js';
import { ProcessStartError } from '../lab/fleet/fleet-process.js';
import { readBackendRecords } from '../lab/load/backend-records.js';
import {
  findLeader,
  readMemberStatuses,
  waitUntilFullyReplicated,
} from '../lab/fleet/cluster-status.js';
import { flipByte, lastSegment } from '../lab/torture/faults/disk-faults.js';
import { type SmallFleet, startSmallFleet } from './support/small-fleet.js';
import { waitUntil } from './support/wait-until.js';

const MAX_TOKENS = 1_000;
const DROP_ALL = { drop: true, delayMs: 0, jitterMs: 0, bytesPerSecond: 0 };
const DROP_BOTH_WAYS = { toTarget: DROP_ALL, toClient: DROP_ALL };
const RECOVERY_TIMEOUT_MS = 30_000;
const STOP_TIMEOUT_MS = 20_000;

let small: SmallFleet;
let client: ProgramClient;
let questions = 0;

beforeAll(async () => {
  small = await startSmallFleet();
  client = small.clientOf('health');
});
afterAll(() => small.down());
beforeEach(async () => {
  await small.fleet.clearFaults();
  await small.fleet.waitUntilGatewaysReady();
  await waitUntilFullyReplicated(small.fleet, RECOVERY_TIMEOUT_MS);
});

/** Creates a question whose answer is long enough to be interrupted. */
function createLongQuestion(): { role: string; content: string }[] {
  for (;;) {
    questions += 1;
    const messages = [{ role: 'user', content: `question ${questions}` }];
    if (expectedAnswer('model', messages, MAX_TOKENS).length > 600) return messages;
  }
}

async function expectCorrectAnswer(program: Program): Promise<void> {
  const messages = createLongQuestion();
  const answer = await program.call(messages, MAX_TOKENS);
  expect(answer.content).toBe(expectedAnswer('model', messages, MAX_TOKENS));
}

async function arrivalsOf(program: string): Promise<{ engine: string; attempt: number }[]> {
  const { engines } = await readBackendRecords(small.fleet);
  return engines.flatMap(({ engine, arrivals }) =>
    arrivals
      .filter((arrival) => arrival.program === program)
      .map(({ attempt }) => ({ engine, attempt })),
  );
}

async function waitForArrival(program: string): Promise<string> {
  let engine = '';
  await waitUntil('call received by an engine', async () => {
    engine = (await arrivalsOf(program))[0]?.engine ?? '';
    return engine !== '';
  });
  return engine;
}

/** @param position index in the order in which the client tries gateways */
function gatewayName(position: number): string {
  return `gateway-${position + 1}`;
}

async function heldPrograms(engine: string): Promise<string[]> {
  const { address } = small.fleet.process(engine).plan;
  const response = await request(`http://${address}/v1/programs`);
  return ((await response.body.json()) as { held: string[] }).held;
}

describe('gateways', () => {
  it('killed in mid-stream: another reads on, and the engine runs the call once', async () => {
    const ownClient = small.clientOf('health');
    const program = await ownClient.openProgram({ model: 'model' });
    const messages = createLongQuestion();
    const answer = program.call(messages, MAX_TOKENS);
    await waitForArrival(program.id);
    await small.fleet.process(gatewayName(0)).kill();
    expect((await answer).content).toBe(expectedAnswer('model', messages, MAX_TOKENS));
    expect(await arrivalsOf(program.id)).toHaveLength(1);
    await small.fleet.process(gatewayName(0)).start();
  });

  it('suspended beyond their lease: another gateway serves calls, and the resumed one causes no errors', async () => {
    const ownClient = small.clientOf('health');
    const program = await ownClient.openProgram({ model: 'model' });
    const gateway = small.fleet.process(gatewayName(0));
    gateway.signal('SIGSTOP');
    const other = small.clientOf('health', [...small.fleet.plan.clientGateways].reverse());
    await expectCorrectAnswer(await other.openProgram({ model: 'model' }));
    await sleep(2_300);
    gateway.signal('SIGCONT');
    await expectCorrectAnswer(program);
  });

  it('partitioned from control: report calls as rejected or of unknown outcome', async () => {
    const [address] = small.fleet.plan.clientGateways;
    const program = await client.openProgram({ model: 'model' });
    await small.fleet.setFault([`${gatewayName(0)}>control-*`], DROP_BOTH_WAYS);
    await sleep(2_300);
    const response = await request(`http://${address}/v1/programs/${program.id}/calls/1`, {
      method: 'POST',
      headers: { authorization: `Bearer ${small.fleet.plan.tenantKeys.health}` },
      body: JSON.stringify({ messages: createLongQuestion() }),
    });
    const problem = (await response.body.json()) as { outcome: string; send_again: boolean };
    expect(problem).toMatchObject({ outcome: 'unknown', send_again: true });
    expect(response.headers['retry-after']).toBeDefined();
    expect(await arrivalsOf(program.id)).toEqual([]);
  });

  it('apply only the latest revision after a restart', async () => {
    const { fleet } = small;
    const gateway = fleet.process(gatewayName(1));
    await gateway.kill();
    const document = fleet.plan.intents;
    for (let round = 1; round <= 150; round += 1) {
      const models = [...document.models, { id: `m${round}`, version: 'v1', adapters: [] }];
      await fleet.applyIntents({ ...document, models });
    }
    const { revision } = await fleet.applyIntents(document);
    await gateway.start();
    await fleet.waitUntilGatewaysReady();
    const response = await request(`http://${gateway.plan.statusAddress}/metrics`);
    const metrics = await response.body.text();
    expect(metrics).toContain(`ledgegauge_gateway_revision ${revision}\n`);
  });
});

describe('non-repeatable requests', () => {
  it('run at most once when their gateway is killed', async () => {
    const payloads: string[] = [];
    for (const delayMs of [0, 4, 12]) {
      const ownClient = small.clientOf('health');
      const program = await ownClient.openProgram({ model: 'model' });
      const payload = `once-${delayMs}`;
      payloads.push(payload);
      const name = 'post-status';
      const sent = { name, operation: 'write', payload, repeatable: false };
      const outcome = program.callService(sent).catch((error: unknown) => error);
      await sleep(delayMs);
      await small.fleet.process(gatewayName(0)).kill();
      await outcome;
      await small.fleet.process(gatewayName(0)).start();
      await small.fleet.waitUntilGatewaysReady();
    }
    const { services } = await readBackendRecords(small.fleet);
    const executions = services.flatMap((service) => service.executions);
    for (const payload of payloads) {
      const count = executions.filter((execution) => execution.payload === payload).length;
      expect(count, payload).toBeLessThanOrEqual(1);
    }
  });

  it('are not retried when the service hangs, and the outcome is unknown', async () => {
    const { address } = small.fleet.process('service-1').plan;
    const fault = JSON.stringify({ mode: 'hang', count: 1 });
    await (
      await request(`http://${address}/v1/faults`, { method: 'POST', body: fault })
    ).body.dump();
    const program = await client.openProgram({ model: 'model' });
    const sent = { name: 'post-status', operation: 'write', payload: 'hung', repeatable: false };
    await expect(program.callService(sent)).rejects.toMatchObject({
      problem: { code: 'outcome_unknown', outcome: 'unknown', sendAgain: false },
    });
    const { services } = await readBackendRecords(small.fleet);
    const ran = services.flatMap((service) => service.executions);
    expect(ran.filter((execution) => execution.payload === 'hung')).toHaveLength(1);
  });
});

describe('engines', () => {
  it('killed during a stream: another engine runs the call again with its history', async () => {
    const program = await client.openProgram({ model: 'model' });
    await expectCorrectAnswer(program);
    const messages = createLongQuestion();
    const answer = program.call(messages, MAX_TOKENS);
    await waitUntil('second call arrives', async () => (await arrivalsOf(program.id)).length > 1);
    const engine = (await arrivalsOf(program.id)).at(-1)!.engine;
    await small.fleet.process(engine).kill();
    await expect(answer).resolves.toMatchObject({ finishReason: expect.any(String) as string });
    await small.fleet.process(engine).start();
    await expectCorrectAnswer(await client.openProgram({ model: 'model' }));
  });

  it('partitioned while a program ends: release its data within 10 s after reconnecting', async () => {
    const program = await client.openProgram({ model: 'model' });
    await expectCorrectAnswer(program);
    const engine = await waitForArrival(program.id);
    await waitUntil('held', async () => (await heldPrograms(engine)).includes(program.id));
    await small.fleet.setFault([`control-*>${engine}`], DROP_BOTH_WAYS);
    await program.end();
    await sleep(500);
    expect(await heldPrograms(engine)).toContain(program.id);
    await small.fleet.clearFaults();
    const isReleased = async (): Promise<boolean> =>
      !(await heldPrograms(engine)).includes(program.id);
    await waitUntil('released', isReleased, 10_000);
  });

  it('reported as leaving by the platform get no new calls', async () => {
    const { fleet } = small;
    const [machines] = fleet.ofKind('machines');
    const list = `http://${machines!.plan.address}/v1/machines`;
    const reportState = async (state: string): Promise<void> => {
      const body = JSON.stringify({ id: 'engine-1', state });
      await (await request(list, { method: 'POST', body })).body.dump();
    };
    const enginesOfNewProgram = async (): Promise<string[]> => {
      const program = await client.openProgram({ model: 'model' });
      await expectCorrectAnswer(program);
      return (await arrivalsOf(program.id)).map((arrival) => arrival.engine);
    };
    await reportState('leaving');
    await sleep(2_500);
    for (let round = 0; round < 6; round += 1) {
      expect(await enginesOfNewProgram()).toEqual(['engine-2']);
    }
    await reportState('live');
    const isUsed = async (): Promise<boolean> => (await enginesOfNewProgram()).includes('engine-1');
    await waitUntil('used again', isUsed);
  });

  it('drained get no new calls after 3 s, and finish running ones', async () => {
    const { fleet } = small;
    const document = fleet.plan.intents;
    const program = await client.openProgram({ model: 'model' });
    const messages = createLongQuestion();
    const running = program.call(messages, MAX_TOKENS);
    const leaving = await waitForArrival(program.id);
    const backends = document.backends.map((backend) =>
      backend.id === leaving ? { ...backend, state: 'draining' as const } : backend,
    );
    await fleet.applyIntents({ ...document, backends });
    expect((await running).content).toBe(expectedAnswer('model', messages, MAX_TOKENS));
    await sleep(3_000);
    for (let round = 0; round < 6; round += 1) {
      const later = await client.openProgram({ model: 'model' });
      await expectCorrectAnswer(later);
      const engines = (await arrivalsOf(later.id)).map((arrival) => arrival.engine);
      expect(engines).not.toContain(leaving);
    }
    await fleet.applyIntents(document);
  });
});

describe('control members', () => {
  it('killed as leader: calls continue', async () => {
    const leader = (await findLeader(small.fleet, 'journal-0'))!;
    await small.fleet.process(leader).kill();
    const startedAt = performance.now();
    await expectCorrectAnswer(await client.openProgram({ model: 'model' }));
    expect(performance.now() - startedAt).toBeLessThan(10_000);
    await small.fleet.process(leader).start();
  });

  it('replaced with empty disks one at a time lose no data', async () => {
    const program = await client.openProgram({ model: 'model' });
    const messages = createLongQuestion();
    const { content } = await program.call(messages, MAX_TOKENS);
    for (const name of ['control-1', 'control-2', 'control-3']) {
      await small.fleet.loseDisk(name);
      await waitUntilFullyReplicated(small.fleet, RECOVERY_TIMEOUT_MS);
    }
    expect((await program.fetch(1)).content).toBe(content);
  });

  it('refuse to start with a damaged log, and rejoin with an empty folder', async () => {
    const control = small.fleet.process('control-2');
    const program = await client.openProgram({ model: 'model' });
    await expectCorrectAnswer(program);
    await control.kill();
    expect(flipByte(lastSegment(control)!, 0.5)).toBe(true);
    await expect(control.start()).rejects.toBeInstanceOf(ProcessStartError);
    expect(await control.exit).toBe(EXIT_STORAGE);
    rmSync(control.plan.dataFolder!, { recursive: true });
    await control.start();
    await waitUntilFullyReplicated(small.fleet, RECOVERY_TIMEOUT_MS);
    const ids = (await readMemberStatuses(small.fleet)).map((view) => view.groups[0]!.member);
    expect(new Set(ids).size).toBe(3);
  });
});

describe('planned stops', () => {
  it.each(['gateway', 'control', 'engine', 'service'] as const)(
    'of a %s under load interrupt no request and exit with code 0',
    async (kind) => {
      const stopped = small.fleet.ofKind(kind)[0]!;
      let isDone = false;
      const load = Array.from({ length: 6 }, async () => {
        const ownClient = small.clientOf('health');
        while (!isDone) {
          const program = await ownClient.openProgram({ model: 'model' });
          await expectCorrectAnswer(program);
          const name = 'build-status';
          const read = { name, operation: 'read', payload: 'x', repeatable: true };
          await program.callService(read);
          await program.end();
        }
      });
      await sleep(300);
      const exitCode = await stopped.stop(STOP_TIMEOUT_MS);
      await stopped.start();
      isDone = true;
      const ends = await Promise.allSettled(load);
      expect(ends.filter((end) => end.status === 'rejected')).toEqual([]);
      expect(exitCode).toBe(EXIT_OK);
    },
  );
});
