/** Reads after all faults have ended: recorded answers, programs of other tenants, spending. */
import type { Exchange } from '../../../src/client/index.js';
import type { SeededRandom } from '../../../src/common/index.js';
import type { Fleet } from '../../fleet/fleet.js';
import type { TortureHistory } from '../history.js';
import { type RawGatewayClient, answerContent, callPath } from './raw-gateway-client.js';

const MAX_CALLS_READ = 60;
const MAX_PROGRAMS_READ = 20;
const MAX_ATTEMPTS = 5;
const NONEXISTENT_PROGRAM = 'p000000000000000000000000';

export interface FinalReadsOptions {
  fleet: Fleet;
  gateways: RawGatewayClient;
  random: SeededRandom;
  history: TortureHistory;
}

export async function runFinalReads(options: FinalReadsOptions): Promise<void> {
  await rereadAnswers(options);
  await readAsOtherTenant(options);
  await readSpending(options);
}

async function rereadAnswers({ gateways, random, history }: FinalReadsOptions): Promise<void> {
  const completed = history.calls.filter((call) => call.outcome === 'completed');
  for (const call of sample(random, completed, MAX_CALLS_READ)) {
    const { program, sequence, tenant, answer } = call;
    const path = callPath(program, sequence);
    const gateway = random.integer(0, gateways.count - 1);
    const exchange = await readWithRetries(gateways, { gateway, tenant, path });
    history.repeatedReads.push({
      program,
      sequence,
      firstAnswer: answer!,
      laterAnswer: answerContent(exchange) ?? describeExchange(exchange),
    });
  }
}

async function readAsOtherTenant(options: FinalReadsOptions): Promise<void> {
  const { fleet, gateways, random, history } = options;
  const known = history.programs.filter((program) => program.id !== '');
  for (const { id, tenant } of sample(random, known, MAX_PROGRAMS_READ)) {
    const others = fleet.plan.deployment.tenants.filter((other) => other !== tenant);
    const otherTenant = random.pick(others);
    const gateway = random.integer(0, gateways.count - 1);
    const readPath = (path: string): Promise<Exchange> =>
      readWithRetries(gateways, { gateway, tenant: otherTenant, path });
    const pathsOf = (program: string): string[] => [
      `/v1/programs/${program}`,
      callPath(program, 1),
    ];
    const answers = await Promise.all(pathsOf(id).map(readPath));
    const answersForNonexistent = await Promise.all(pathsOf(NONEXISTENT_PROGRAM).map(readPath));
    history.foreignReads.push({
      program: id,
      answer: answers.map(describeExchange).join(' '),
      answerForNoProgram: answersForNonexistent.map(describeExchange).join(' '),
    });
  }
}

async function readSpending({ gateways, random, history }: FinalReadsOptions): Promise<void> {
  const roots = history.programs.filter((program) => program.isRoot && program.id !== '');
  for (const { id, tenant } of sample(random, roots, MAX_PROGRAMS_READ)) {
    const gateway = random.integer(0, gateways.count - 1);
    const exchange = await readWithRetries(gateways, {
      gateway,
      tenant,
      path: `/v1/programs/${id}`,
    });
    if (exchange.kind !== 'document') continue;
    const { budget, spent } = exchange.body as { budget: number; spent: number };
    history.spending.push({ program: id, budget, spent });
  }
}

async function readWithRetries(
  gateways: RawGatewayClient,
  read: { gateway: number; tenant: string; path: string },
): Promise<Exchange> {
  let exchange: Exchange = { kind: 'broken', reason: 'not sent' };
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
    exchange = await gateways.send({ ...read, gateway: read.gateway + attempt, method: 'GET' });
    const isFinal = exchange.kind === 'problem' && !exchange.problem.sendAgain;
    if (exchange.kind === 'document' || isFinal) break;
  }
  return exchange;
}

function describeExchange(exchange: Exchange): string {
  switch (exchange.kind) {
    case 'problem':
      return JSON.stringify(exchange.problem);
    case 'broken':
      return 'broken';
    default:
      return `answered ${JSON.stringify(exchange)}`;
  }
}

function sample<Item>(random: SeededRandom, items: readonly Item[], count: number): Item[] {
  if (items.length <= count) return [...items];
  return Array.from({ length: count }, () => random.pick(items));
}
