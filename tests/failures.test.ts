/** One failure after the other, caused on purpose on real processes, with what callers must see. */
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
const SILENT = { drop: true, delayMs: 0, jitterMs: 0, bytesPerSecond: 0 };
const SILENT_BOTH_WAYS = { toTarget: SILENT, toClient: SILENT };
const HEAL_MS = 30_000;
const STOP_PATIENCE_MS = 20_000;

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
  await waitUntilFullyReplicated(small.fleet, HEAL_MS);
});

/** A question whose answer is long enough to be disturbed in the middle. */
function longQuestion(): { role: string; content: string }[] {
  for (;;) {
    questions += 1;
    const messages = [{ role: 'user', content: `question ${questions}` }];
    if (expectedAnswer('model', messages, MAX_TOKENS).length > 600) return messages;
  }
}

async function expectRightAnswer(program: Program): Promise<void> {
  const messages = longQuestion();
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

async function waitArrival(program: string): Promise<string> {
  let engine = '';
  await waitUntil('an engine has the call', async () => {
    engine = (await arrivalsOf(program))[0]?.engine ?? '';
    return engine !== '';
  });
  return engine;
}

/** Position in the fleet of the gateway that the client prefers. */
function gatewayOf(position: number): string {
  return `gateway-${position + 1}`;
}

async function heldPrograms(engine: string): Promise<string[]> {
  const { address } = small.fleet.process(engine).plan;
  const response = await request(`http://${address}/v1/programs`);
  return ((await response.body.json()) as { held: string[] }).held;
}

describe('gateways', () => {
  it('killed in mid-stream: another reads on, and the engine runs the call once', async () => {
    const own = small.clientOf('health');
    const program = await own.openProgram({ model: 'model' });
    const messages = longQuestion();
    const answer = program.call(messages, MAX_TOKENS);
    await waitArrival(program.id);
    await small.fleet.process(gatewayOf(0)).kill();
    expect((await answer).content).toBe(expectedAnswer('model', messages, MAX_TOKENS));
    expect(await arrivalsOf(program.id)).toHaveLength(1);
    await small.fleet.process(gatewayOf(0)).start();
  });

  it('frozen past their lease: the call goes on elsewhere, and the woken one does no harm', async () => {
    const own = small.clientOf('health');
    const program = await own.openProgram({ model: 'model' });
    const gateway = small.fleet.process(gatewayOf(0));
    gateway.signal('SIGSTOP');
    const other = small.clientOf('health', [...small.fleet.plan.clientGateways].reverse());
    await expectRightAnswer(await other.openProgram({ model: 'model' }));
    await sleep(2_300);
    gateway.signal('SIGCONT');
    await expectRightAnswer(program);
  });

  it('cut off from control: refuse truthfully or say that the outcome is open', async () => {
    const [address] = small.fleet.plan.clientGateways;
    const program = await client.openProgram({ model: 'model' });
    await small.fleet.setFault([`${gatewayOf(0)}>control-*`], SILENT_BOTH_WAYS);
    await sleep(2_300);
    const response = await request(`http://${address}/v1/programs/${program.id}/calls/1`, {
      method: 'POST',
      headers: { authorization: `Bearer ${small.fleet.plan.tenantKeys.health}` },
      body: JSON.stringify({ messages: longQuestion() }),
    });
    const problem = (await response.body.json()) as { outcome: string; send_again: boolean };
    expect(problem).toMatchObject({ outcome: 'unknown', send_again: true });
    expect(response.headers['retry-after']).toBeDefined();
    expect(await arrivalsOf(program.id)).toEqual([]);
  });

  it('restarted after hundreds of changes act on the latest only', async () => {
    const { fleet } = small;
    const gateway = fleet.process(gatewayOf(1));
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

describe('requests that may not be repeated', () => {
  it('run at most once, wherever their gateway dies', async () => {
    const payloads: string[] = [];
    for (const delayMs of [0, 4, 12]) {
      const own = small.clientOf('health');
      const program = await own.openProgram({ model: 'model' });
      const payload = `once-${delayMs}`;
      payloads.push(payload);
      const name = 'post-status';
      const sent = { name, operation: 'write', payload, repeatable: false };
      const outcome = program.callService(sent).catch((error: unknown) => error);
      await sleep(delayMs);
      await small.fleet.process(gatewayOf(0)).kill();
      await outcome;
      await small.fleet.process(gatewayOf(0)).start();
      await small.fleet.waitUntilGatewaysReady();
    }
    const { services } = await readBackendRecords(small.fleet);
    const executions = services.flatMap((service) => service.executions);
    for (const payload of payloads) {
      const count = executions.filter((execution) => execution.payload === payload).length;
      expect(count, payload).toBeLessThanOrEqual(1);
    }
  });

  it('are not sent again when the service hangs; the outcome is called unknown', async () => {
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
  it('killed in mid-stream: the call runs anew elsewhere with its history', async () => {
    const program = await client.openProgram({ model: 'model' });
    await expectRightAnswer(program);
    const messages = longQuestion();
    const answer = program.call(messages, MAX_TOKENS);
    await waitUntil('second call arrives', async () => (await arrivalsOf(program.id)).length > 1);
    const engine = (await arrivalsOf(program.id)).at(-1)!.engine;
    await small.fleet.process(engine).kill();
    await expect(answer).resolves.toMatchObject({ finishReason: expect.any(String) as string });
    await small.fleet.process(engine).start();
    await expectRightAnswer(await client.openProgram({ model: 'model' }));
  });

  it('away while a program ends: hold nothing for it within 10 s of their return', async () => {
    const program = await client.openProgram({ model: 'model' });
    await expectRightAnswer(program);
    const engine = await waitArrival(program.id);
    await waitUntil('held', async () => (await heldPrograms(engine)).includes(program.id));
    await small.fleet.setFault([`control-*>${engine}`], SILENT_BOTH_WAYS);
    await program.end();
    await sleep(500);
    expect(await heldPrograms(engine)).toContain(program.id);
    await small.fleet.clearFaults();
    const isFree = async (): Promise<boolean> => !(await heldPrograms(engine)).includes(program.id);
    await waitUntil('released', isFree, 10_000);
  });

  it('called leaving by the platform get no new work soon after', async () => {
    const { fleet } = small;
    const [machines] = fleet.ofKind('machines');
    const list = `http://${machines!.plan.address}/v1/machines`;
    const note = async (state: string): Promise<void> => {
      const body = JSON.stringify({ id: 'engine-1', state });
      await (await request(list, { method: 'POST', body })).body.dump();
    };
    const enginesOfNewProgram = async (): Promise<string[]> => {
      const program = await client.openProgram({ model: 'model' });
      await expectRightAnswer(program);
      return (await arrivalsOf(program.id)).map((arrival) => arrival.engine);
    };
    await note('leaving');
    await sleep(2_500);
    for (let round = 0; round < 6; round += 1) {
      expect(await enginesOfNewProgram()).toEqual(['engine-2']);
    }
    await note('live');
    const isUsed = async (): Promise<boolean> => (await enginesOfNewProgram()).includes('engine-1');
    await waitUntil('used again', isUsed);
  });

  it('told to leave get no new work after 3 s, and finish what they have', async () => {
    const { fleet } = small;
    const document = fleet.plan.intents;
    const program = await client.openProgram({ model: 'model' });
    const messages = longQuestion();
    const running = program.call(messages, MAX_TOKENS);
    const leaving = await waitArrival(program.id);
    const backends = document.backends.map((backend) =>
      backend.id === leaving ? { ...backend, state: 'draining' as const } : backend,
    );
    await fleet.applyIntents({ ...document, backends });
    expect((await running).content).toBe(expectedAnswer('model', messages, MAX_TOKENS));
    await sleep(3_000);
    for (let round = 0; round < 6; round += 1) {
      const later = await client.openProgram({ model: 'model' });
      await expectRightAnswer(later);
      const engines = (await arrivalsOf(later.id)).map((arrival) => arrival.engine);
      expect(engines).not.toContain(leaving);
    }
    await fleet.applyIntents(document);
  });
});

describe('control members', () => {
  it('killed while leading: calls go on', async () => {
    const leader = (await findLeader(small.fleet, 'journal-0'))!;
    await small.fleet.process(leader).kill();
    const startedAt = performance.now();
    await expectRightAnswer(await client.openProgram({ model: 'model' }));
    expect(performance.now() - startedAt).toBeLessThan(10_000);
    await small.fleet.process(leader).start();
  });

  it('lost with their disks one after the other lose nothing', async () => {
    const program = await client.openProgram({ model: 'model' });
    const messages = longQuestion();
    const { content } = await program.call(messages, MAX_TOKENS);
    for (const name of ['control-1', 'control-2', 'control-3']) {
      await small.fleet.loseDisk(name);
      await waitUntilFullyReplicated(small.fleet, HEAL_MS);
    }
    expect((await program.fetch(1)).content).toBe(content);
  });

  it('refuse to start upon a damaged log, and come back with an empty folder', async () => {
    const control = small.fleet.process('control-2');
    const program = await client.openProgram({ model: 'model' });
    await expectRightAnswer(program);
    await control.kill();
    expect(flipByte(lastSegment(control)!, 0.5)).toBe(true);
    await expect(control.start()).rejects.toBeInstanceOf(ProcessStartError);
    expect(await control.exit).toBe(EXIT_STORAGE);
    rmSync(control.plan.dataFolder!, { recursive: true });
    await control.start();
    await waitUntilFullyReplicated(small.fleet, HEAL_MS);
    const ids = (await readMemberStatuses(small.fleet)).map((view) => view.groups[0]!.member);
    expect(new Set(ids).size).toBe(3);
  });
});

describe('planned stops', () => {
  it.each(['gateway', 'control', 'engine', 'service'] as const)(
    'of a %s under load cut no request and end with code 0',
    async (kind) => {
      const stopped = small.fleet.ofKind(kind)[0]!;
      let isDone = false;
      const load = Array.from({ length: 6 }, async () => {
        const own = small.clientOf('health');
        while (!isDone) {
          const program = await own.openProgram({ model: 'model' });
          await expectRightAnswer(program);
          const name = 'build-status';
          const read = { name, operation: 'read', payload: 'x', repeatable: true };
          await program.callService(read);
          await program.end();
        }
      });
      await sleep(300);
      const exitCode = await stopped.stop(STOP_PATIENCE_MS);
      await stopped.start();
      isDone = true;
      const ends = await Promise.allSettled(load);
      expect(ends.filter((end) => end.status === 'rejected')).toEqual([]);
      expect(exitCode).toBe(EXIT_OK);
    },
  );
});
