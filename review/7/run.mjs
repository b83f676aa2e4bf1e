/** QUOTA: a tenant gets more than its limit, with the tokens of requests that waited for the stores and were refused. */
import { join } from 'node:path';
import {
  Deployment,
  HOST,
  LIMITS,
  Record,
  Runner,
  call,
  exitWith,
  newId,
  order,
  sleep,
  waitUntil,
} from '../lib-2/deployment.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const KEY = 'key-of-bureau-a';
const RATE_PER_S = 100;
const BURST = 10;
const BOUNDS = {
  strictRevoke: true,
  revokeMs: 5_000,
  quotaWindowS: 5,
  quotaOver: 0.1,
  quotaSlack: 20,
};
const WINDOW_MS = BOUNDS.quotaWindowS * 1_000;
const MOST =
  (RATE_PER_S * BOUNDS.quotaWindowS + BURST) * (1 + BOUNDS.quotaOver) + BOUNDS.quotaSlack;
/** What the tenant sends, as a multiple of its limit: as many turns as calls of tools. */
const PRESSURE = 4;
const SECONDS = 18;
const KILL_AT_MS = 6_000;
const KILLED = 2;
const DOWN_MS = 2_800;
const DEADLINE_MS = 3_136;
const EVENTS = 8;
const PAUSE_MS = 200;
const WORK_MS = 42;

const record = new Record(join(import.meta.dirname, 'record.txt'));
/** When each request was sent, and when it arrived at a runner that ran it (milliseconds). */
const requests = new Map();

const CONFIGURATION = JSON.stringify({
  generation: 1,
  routes: [
    {
      name: 'r-turns',
      host: HOST,
      pathPrefix: '/turns/',
      routeType: 'streaming',
      timeoutMs: DEADLINE_MS,
      sloMs: 209,
      priority: 0,
      backend: 'huvo11a',
      maxAttempts: 2,
      retainHistory: false,
      retentionS: 60,
      sessionAffinity: true,
      allowResume: false,
      gapAimMs: 300,
    },
    {
      name: 'r-status',
      host: HOST,
      pathPrefix: '/status/',
      routeType: 'unsafe',
      timeoutMs: 2_035,
      sloMs: 212,
      priority: 1,
      backend: 'wuno96b',
      maxAttempts: 2,
    },
  ],
  services: [
    {
      name: 'huvo11a',
      healthPath: '/healthz',
      maxConns: 450,
      protocol: 'h1',
      tls: false,
      engine: { slots: 64, kvCapacity: 490_370, tokensPerEvent: 25 },
    },
    { name: 'wuno96b', healthPath: '/healthz', maxConns: 400, protocol: 'h1', tls: false },
  ],
  tenants: [{ name: 'bureau-a', apiKeys: [KEY], ratePerS: RATE_PER_S, burst: BURST }],
  limits: LIMITS,
});

function noteArrival(id) {
  const request = requests.get(id);
  if (request) request.arrivedAt ??= performance.now();
}

async function work({ id }, response, head) {
  noteArrival(id);
  await sleep(WORK_MS);
  response.writeHead(200, head).end('done');
}

async function generate({ id }, response, head) {
  noteArrival(id);
  response.writeHead(200, { ...head, 'Content-Type': 'text/event-stream' });
  for (let event = 1; event <= EVENTS && !response.destroyed; event += 1) {
    response.write(`id: ${event}\ndata: ${event}\n\n`);
    await sleep(PAUSE_MS);
  }
  response.end();
}

const statuses = new Map();

/** Sends a request; one that is refused isn't sent again. */
async function send(front, path, id, extra, deadlineMs) {
  const headers = {
    Host: HOST,
    'X-Attempt-Id': id,
    'X-Api-Key': KEY,
    'X-Deadline-Ms': String(deadlineMs),
    ...extra,
  };
  requests.set(id, { sentAt: performance.now(), arrivedAt: undefined });
  const { status } = await call(front, { path, headers, body: 'input', timeoutMs: deadlineMs });
  statuses.set(status, (statuses.get(status) ?? 0) + 1);
}

function callOfTool(front) {
  return send(front, '/status/4b', newId(), {}, 2_035);
}

/** The first turn of a program. */
function turn(front) {
  const id = newId();
  const headers = {
    'X-Model': 'm',
    'X-Program-Id': `p-${id}`,
    'X-Session-Id': `s-${id}`,
    'X-Program-Deadline-Ms': '20000',
    'X-Token-Budget': '4600',
    'X-Token-Usage': `1840,${EVENTS * 25}`,
    'X-Prompt-Prefix': '5c1e07a2:800,91bd3f06:410,e4402b7d:250',
  };
  return send(front, '/turns/4b', id, headers, DEADLINE_MS);
}

/** Sends turns and calls at an even pace, whatever becomes of them. */
async function sendAll(deployment) {
  const startedAt = performance.now();
  const pending = [];
  for (let sent = 0; performance.now() - startedAt < SECONDS * 1_000;) {
    const due = ((performance.now() - startedAt) / 1_000) * RATE_PER_S * PRESSURE;
    for (; sent < due; sent += 1) {
      const front = deployment.front(sent % 2);
      pending.push(sent % 4 < 2 ? turn(front) : callOfTool(front));
    }
    await sleep(5);
  }
  await Promise.all(pending);
}

async function killStores(deployment) {
  await sleep(KILL_AT_MS);
  const killed = deployment.of('journal').slice(0, KILLED);
  record.note(`killed: ${killed.map(({ name }) => name).join(', ')}`);
  await Promise.all(killed.map((machine) => deployment.kill(machine)));
  await sleep(DOWN_MS);
  for (const machine of killed) deployment.start(machine);
  record.note('started again');
}

/** The most requests that were sent and arrived within one window, and its start. */
function worstWindow() {
  const run = [...requests.values()].filter(({ arrivedAt }) => arrivedAt !== undefined);
  let worst = { count: 0, from: 0 };
  for (const { sentAt: from } of run) {
    const isIn = ({ sentAt, arrivedAt }) => sentAt >= from && arrivedAt < from + WINDOW_MS;
    const count = run.filter(isIn).length;
    if (count > worst.count) worst = { count, from };
  }
  return { ...worst, run: run.length };
}

/** For the record: what was sent and run in each half of a second. */
function noteTimes() {
  const secondsOf = (time) => Math.floor((time - record.startedAt) / 500) / 2;
  const lines = new Map();
  const add = (time, name) => {
    const line = lines.get(secondsOf(time)) ?? { sent: 0, run: 0 };
    line[name] += 1;
    lines.set(secondsOf(time), line);
  };
  for (const { sentAt, arrivedAt } of requests.values()) {
    add(sentAt, 'sent');
    if (arrivedAt !== undefined) add(arrivedAt, 'run');
  }
  for (const [from, { sent, run }] of [...lines].sort(([left], [right]) => left - right))
    record.note(`from ${from.toFixed(1)} s: ${sent} sent, ${run} arrived and run`);
}

async function main() {
  const deployment = await Deployment.create({ control: 3, journal: 3, gateway: 2 }, BOUNDS);
  const runners = [];
  try {
    deployment.startAll();
    const control = deployment.controlAddresses;
    for (let count = 0; count < 4; count += 1) {
      runners.push(await Runner.start({ service: 'huvo11a', slots: 64, answer: generate }));
      runners.push(await Runner.start({ service: 'wuno96b', slots: 16, answer: work }));
    }
    await order(control, 'PUT', '/v1/config', CONFIGURATION);
    for (const runner of runners) {
      await waitUntil('runner known', () => runner.beat(control));
      runner.startBeats(control);
    }
    await waitUntil('gateways ready', async () => {
      const ready = [0, 1].map((index) =>
        call(deployment.readiness(index), { method: 'GET', path: '/v1/readyz' }),
      );
      return (await Promise.all(ready)).every(({ status }) => status === 200);
    });
    await sleep(3_000);
    record.note('the tenant begins to send');
    await Promise.all([sendAll(deployment), HAS_TROUBLE ? killStores(deployment) : undefined]);
  } finally {
    for (const runner of runners) runner.stop();
    await deployment.stop();
  }
  noteTimes();
  const { count, from, run } = worstWindow();
  const at = ((from - record.startedAt) / 1_000).toFixed(1);
  const text = `${count} in the ${BOUNDS.quotaWindowS} s from ${at} s, ${MOST} allowed; ${run} run, answers ${JSON.stringify([...statuses])}`;
  record.note(text);
  if (run < RATE_PER_S * SECONDS * 0.4) exitWith(2, `too few were served: ${text}`);
  else exitWith(count > MOST ? 1 : 0, text);
  process.exit();
}

await main().catch((error) => {
  exitWith(2, String(error));
  process.exit();
});
