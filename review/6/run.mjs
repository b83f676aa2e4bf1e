/** BUDGET: a program gets more tokens than its budget because a configuration came while its turns ran. */
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
const TOKENS_PER_EVENT = 25;
const EVENTS = 23;
const MOST_TOKENS = EVENTS * TOKENS_PER_EVENT;
const PAUSE_MS = 60;
/** Holds four turns at their most, and 200 tokens more. */
const BUDGET = 4 * MOST_TOKENS + 200;
const LINES = 4;
const ROUNDS = 3;

const record = new Record(join(import.meta.dirname, 'record.txt'));

function configuration(generation, service, services) {
  const engine = { slots: 16, kvCapacity: 490_370, tokensPerEvent: TOKENS_PER_EVENT };
  return JSON.stringify({
    generation,
    routes: [
      {
        name: 'r-turns',
        host: HOST,
        pathPrefix: '/turns/',
        routeType: 'streaming',
        timeoutMs: 3_000,
        sloMs: 200,
        priority: 0,
        backend: service,
        maxAttempts: 2,
        retainHistory: false,
        retentionS: 60,
        sessionAffinity: true,
        allowResume: false,
        gapAimMs: 300,
      },
    ],
    services: services.map((name) => ({
      name,
      healthPath: '/healthz',
      maxConns: 160,
      protocol: 'h1',
      tls: false,
      engine,
    })),
    limits: LIMITS,
  });
}

/** Streams the events of a turn. */
async function generate(received, response, head, runner) {
  record.note(`run ${received.id} at ${runner.id} of ${runner.service}`);
  response.writeHead(200, { ...head, 'Content-Type': 'text/event-stream' });
  for (let event = 1; event <= EVENTS; event += 1) {
    if (response.destroyed) return;
    response.write(`id: ${event}\ndata: ${runner.id} ${event}\n\n`);
    await sleep(PAUSE_MS);
  }
  response.end();
}

let tokens = 0;

async function turn(front, line) {
  const id = newId();
  const headers = {
    Host: HOST,
    'X-Attempt-Id': id,
    'X-Model': 'm',
    'X-Program-Id': 'p-1',
    'X-Session-Id': `s-${line}`,
    'X-Program-Deadline-Ms': '20000',
    'X-Token-Budget': String(BUDGET),
    'X-Token-Usage': `1840,${MOST_TOKENS}`,
    'X-Prompt-Prefix': '5c1e07a2:800,91bd3f06:410',
    'X-Deadline-Ms': '3000',
  };
  record.note(`sent ${id} of line ${line} to ${front}`);
  const answer = await call(front, { path: '/turns/4b', headers, body: 'input', timeoutMs: 3_000 });
  const got = (answer.body.match(/^data: /gm)?.length ?? 0) * TOKENS_PER_EVENT;
  tokens += answer.status === 200 ? got : 0;
  const end = answer.isWhole ? 'whole' : 'broken off';
  record.note(`answered ${id}: ${answer.status}, ${end}, ${got} tokens; ${tokens} in all`);
  return answer.status;
}

async function main() {
  const deployment = await Deployment.create({ control: 3, journal: 3, gateway: 2 });
  const runners = [];
  try {
    deployment.startAll();
    const control = deployment.controlAddresses;
    for (const service of ['huvo11a', 'wuno96b']) {
      const runner = await Runner.start({ service, answer: generate });
      runners.push(runner);
      runner.startBeats(control);
    }
    const first = configuration(1, 'huvo11a', ['huvo11a', 'wuno96b']);
    await order(control, 'PUT', '/v1/config', first);
    record.note('configuration 1 acknowledged: the route leads to huvo11a');
    await waitUntil('gateways ready', async () => {
      const ready = [0, 1].map((index) =>
        call(deployment.readiness(index), { method: 'GET', path: '/v1/readyz' }),
      );
      return (await Promise.all(ready)).every(({ status }) => status === 200);
    });
    await waitUntil('runners known', async () =>
      (await Promise.all(runners.map((runner) => runner.beat(control)))).every(Boolean),
    );
    await sleep(1_500);
    for (let round = 1; round <= ROUNDS; round += 1) {
      const turns = Array.from({ length: LINES }, (_, line) =>
        turn(deployment.front(line % 2), line),
      );
      await sleep(500);
      if (round === 1 && HAS_TROUBLE) {
        const second = configuration(2, 'wuno96b', ['wuno96b']);
        const { status } = await order(control, 'PUT', '/v1/config', second);
        record.note(`configuration 2 answered ${status}: the route leads to wuno96b alone`);
      }
      record.note(`round ${round}: ${(await Promise.all(turns)).join(', ')}`);
      await sleep(800);
    }
  } finally {
    for (const runner of runners) runner.stop();
    await deployment.stop();
  }
  const most = BUDGET + MOST_TOKENS;
  const text = `budget ${BUDGET}, at most ${most} with one turn more; ${tokens} tokens received`;
  const isBroken = tokens > most;
  record.note(`${text}: ${isBroken ? 'broken' : 'held'}`);
  if (tokens < 2 * MOST_TOKENS) exitWith(2, `the turns were not served: ${text}`);
  else exitWith(isBroken ? 1 : 0, text);
}

await main().catch((error) => exitWith(2, String(error)));
