/** UNASKED: a caller without a key continues a turn of a tenant, and the runner gets that tenant's history. */
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
  waitUntil,
} from '../lib-2/deployment.mjs';

/** Without trouble, the caller names the turn by its id alone, which is not a turn of its own either. */
const HAS_TROUBLE = process.env.TROUBLE !== '0';
const TENANT = 'bureau-a';
const KEY = 'key-of-bureau-a';
const SECRET = 'salaries of bureau-a;';

const record = new Record(join(import.meta.dirname, 'record.txt'));

function route(name, pathPrefix, extra) {
  return {
    name,
    host: HOST,
    pathPrefix,
    routeType: 'streaming',
    timeoutMs: 3_000,
    sloMs: 200,
    priority: 0,
    backend: 'huvo11a',
    maxAttempts: 2,
    retainHistory: true,
    retentionS: 60,
    sessionAffinity: true,
    allowResume: false,
    gapAimMs: 300,
    ...extra,
  };
}

const CONFIGURATION = JSON.stringify({
  generation: 1,
  routes: [route('r-office', '/office/', {}), route('r-public', '/public/', { anonymous: true })],
  services: [
    {
      name: 'huvo11a',
      healthPath: '/healthz',
      maxConns: 160,
      protocol: 'h1',
      tls: false,
      engine: { slots: 16, kvCapacity: 490_370, tokensPerEvent: 25 },
    },
  ],
  tenants: [{ name: TENANT, apiKeys: [KEY] }],
  limits: LIMITS,
});

async function generate(received, response, head) {
  const tenant = received.headers['x-tenant'] ?? 'none';
  record.note(`run ${received.id}, tenant ${tenant}, body ${JSON.stringify(received.body)}`);
  response.writeHead(200, { ...head, 'Content-Type': 'text/event-stream' });
  response.end(`id: 1\ndata: told: ${received.body}\n\n`);
}

function turn(front, path, { id = newId(), body, key, previous }) {
  const headers = {
    Host: HOST,
    'X-Attempt-Id': id,
    'X-Model': 'm',
    'X-Program-Id': `p-${newId()}`,
    'X-Session-Id': `s-${newId()}`,
    'X-Program-Deadline-Ms': '20000',
    'X-Token-Usage': '1840,250',
    'X-Prompt-Prefix': '5c1e07a2:800,91bd3f06:410',
    'X-Deadline-Ms': '3000',
    ...(key && { 'X-Api-Key': key }),
    ...(previous && { 'X-Previous-Turn': previous }),
  };
  const named = previous === undefined ? '' : `, X-Previous-Turn: ${previous}`;
  record.note(`sent ${id} to ${path}, ${key ? 'with the key' : 'without a key'}${named}`);
  return call(front, { path, headers, body });
}

async function main() {
  const deployment = await Deployment.create({ control: 3, journal: 3, gateway: 1 });
  const runner = await Runner.start({ service: 'huvo11a', answer: generate });
  let isBroken;
  try {
    deployment.startAll();
    const control = deployment.controlAddresses;
    await order(control, 'PUT', '/v1/config', CONFIGURATION);
    runner.startBeats(control);
    await waitUntil('runner known', () => runner.beat(control));
    const front = deployment.front();
    const firstTurn = { body: SECRET, key: KEY };
    await waitUntil('turns served', async () => {
      const { status } = await turn(front, '/office/4b', { ...firstTurn, body: 'ping;' });
      return status === 200;
    });
    const id = newId();
    const first = await turn(front, '/office/4b', { ...firstTurn, id });
    record.note(`answered ${id}: ${first.status}, ${first.isWhole ? 'whole' : 'broken off'}`);
    if (first.status !== 200) throw new Error('the first turn was not served');
    const previous = HAS_TROUBLE ? `${TENANT.length}:${TENANT}:${id}` : id;
    const runsBefore = runner.calls.length;
    const foreign = await turn(front, '/public/4b', { body: 'go on;', previous });
    record.note(`answered: ${foreign.status}, ${JSON.stringify(foreign.body)}`);
    const runs = runner.calls.slice(runsBefore);
    isBroken = runs.length > 0;
    record.note(isBroken ? 'broken: a turn ran that continues no turn of its caller' : 'held');
  } finally {
    runner.stop();
    await deployment.stop();
  }
  exitWith(isBroken ? 1 : 0, isBroken ? 'the turn ran' : 'the turn did not run');
}

await main().catch((error) => exitWith(2, String(error)));
