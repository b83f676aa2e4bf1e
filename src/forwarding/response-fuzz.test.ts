/**
 * Seeded conversations with a back end over real sockets that cut, reset, delay, split and follow
 * answers with bytes that nobody asked for. Whatever happens, an answer counts as complete only if
 * its caller has the whole body of its own call, and no connection is left behind.
 */
import { describe, expect, it } from 'vitest';
import { fuzzSeeds } from '../../tests/support/fuzz-seeds.js';
import {
  RawBackend,
  type ScriptStep,
  close,
  reset,
  wait,
  write,
} from '../../tests/support/raw-backend.js';
import { ownLines, sendRaw } from '../../tests/support/raw-sends.js';
import { waitUntil } from '../../tests/support/wait-until.js';
import { SeededRandom } from '../common/index.js';
import { BackendConnectionPool } from './backend-connections.js';

/** Seeds that failed once stand here, each with a line on the cause. */
const FAILED_SEEDS: readonly number[] = [
  // The back end of the test wrote a foreign answer into the middle of its own next one.
  632882262,
  // A whole answer, then a close while the next request is written: that one is rightly broken.
  517682882,
];
const REGULAR_SEEDS = 30;
const CALLS_PER_SEED = 8;
const DAMAGES = ['none', 'none', 'close', 'reset', 'foreign-answer', 'garbage'] as const;
const FRAMINGS = ['length', 'chunks', 'until-close'] as const;
const PARALLEL = 16;

type Damage = (typeof DAMAGES)[number];
type Framing = (typeof FRAMINGS)[number];

interface PlannedAnswer {
  id: string;
  body: string;
  framing: Framing;
  damage: Damage;
  /** Bytes that are written before the connection is closed or reset. */
  cutAt: number;
  bytes: string;
  headBytes: number;
}

function headOf(id: string, framing: Framing, bodyBytes: number): string {
  const lines = ['HTTP/1.1 200 OK', ...ownLines(id)];
  if (framing === 'length') lines.push(`Content-Length: ${bodyBytes}`);
  if (framing === 'chunks') lines.push('Transfer-Encoding: chunked');
  return `${lines.join('\r\n')}\r\n\r\n`;
}

function plan(
  random: SeededRandom,
  id: string,
  framing: Framing = random.pick(FRAMINGS),
  damage: Damage = random.pick(DAMAGES),
): PlannedAnswer {
  const body = Array.from({ length: random.integer(0, 60) }, () => `${id},`).join('');
  const head = headOf(id, framing, body.length);
  const middle = random.integer(0, body.length);
  const chunks = [body.slice(0, middle), body.slice(middle)].filter((chunk) => chunk !== '');
  const framed =
    framing === 'chunks'
      ? `${chunks.map((chunk) => `${chunk.length.toString(16)}\r\n${chunk}\r\n`).join('')}0\r\n\r\n`
      : body;
  const bytes = head + framed;
  const cutAt = random.integer(0, bytes.length);
  return { id, body, framing, damage, cutAt, bytes, headBytes: head.length };
}

function scriptOf(answer: PlannedAnswer, random: SeededRandom): ScriptStep[] {
  const { bytes, damage, cutAt, framing } = answer;
  const isCut = damage === 'close' || damage === 'reset';
  const sent = isCut ? bytes.slice(0, cutAt) : bytes;
  const steps: ScriptStep[] = split(sent, random);
  if (damage === 'close') steps.push(close);
  else if (damage === 'reset') steps.push(...reset);
  else if (framing === 'until-close') steps.push(close);
  else if (damage === 'foreign-answer') steps.push(write(`${headOf('nobody', 'length', 2)}no`));
  else if (damage === 'garbage') steps.push(write('\u0000garbage\r\n\r\n'));
  return steps;
}

function split(bytes: string, random: SeededRandom): ScriptStep[] {
  const at = random.integer(0, bytes.length);
  if (random.chance(0.5)) return [write(bytes)];
  return [write(bytes.slice(0, at)), wait(1), write(bytes.slice(at))];
}

/** What the caller may be told, from what the back end really sent. */
function isCompleteAllowed(answer: PlannedAnswer, body: string): boolean {
  const { framing, damage, cutAt, bytes, headBytes } = answer;
  if (damage !== 'close' && damage !== 'reset') return body === answer.body;
  if (cutAt === bytes.length && framing !== 'until-close') return body === answer.body;
  // An orderly close is the end of an answer without a length, wherever it comes.
  const isOrderlyEnd = damage === 'close' && framing === 'until-close' && cutAt >= headBytes;
  return isOrderlyEnd && body === bytes.slice(headBytes, cutAt);
}

/** Whether an answer that counts as whole leaves a connection behind that fails the next call. */
function mayBreakNext({ damage, cutAt, bytes }: PlannedAnswer): boolean {
  const isCutAtItsEnd = (damage === 'close' || damage === 'reset') && cutAt === bytes.length;
  return damage === 'foreign-answer' || damage === 'garbage' || isCutAtItsEnd;
}

/** Plays answers one after the other on kept connections and checks each. */
async function playConversation(answers: PlannedAnswer[], random: SeededRandom): Promise<void> {
  const scripts = new Map(answers.map((answer) => [answer.id, scriptOf(answer, random)]));
  const backend = await RawBackend.start((request) =>
    scripts.get(request.split(' ')[1]!.slice(1))!,
  );
  try {
    const connections = new BackendConnectionPool(backend.address, () => 2);
    for (const answer of answers) {
      const { result, body } = await sendRaw(connections, { id: answer.id });
      if (result.kind === 'complete') {
        expect(isCompleteAllowed(answer, body), JSON.stringify({ answer, body })).toBe(true);
      } else if (answer.damage === 'none' && result.kind === 'broken') {
        // Only what an answer before it left on the connection may break a sound one.
        expect(answers.some(mayBreakNext)).toBe(true);
      }
      expect(result.kind).not.toBe('not-executed');
    }
    const received = backend.requests.map((request) => request.split(' ')[1]);
    expect(new Set(received).size).toBe(received.length);
    connections.closeIdle();
    await waitUntil('connections closed', () => backend.openConnections === 0, 5_000);
  } finally {
    await backend.stop();
  }
}

async function inParallel(tasks: (() => Promise<void>)[]): Promise<void> {
  const waiting = [...tasks];
  const work = async (): Promise<void> => {
    for (let task = waiting.pop(); task; task = waiting.pop()) await task();
  };
  await Promise.all(Array.from({ length: PARALLEL }, work));
}

describe('conversations with a back end that misbehaves', () => {
  it.each(fuzzSeeds(FAILED_SEEDS, REGULAR_SEEDS))('seed %i', async (seed) => {
    const random = new SeededRandom(seed);
    const answers = Array.from({ length: CALLS_PER_SEED }, (_, n) => plan(random, `c${seed}-${n}`));
    await playConversation(answers, random);
  });
});

describe('an answer that is cut at every one of its bytes', () => {
  const cases = FRAMINGS.flatMap((framing) =>
    (['close', 'reset'] as const).map((damage) => ({ framing, damage })),
  );
  it.each(cases)('$framing, $damage', async ({ framing, damage }) => {
    const whole = plan(new SeededRandom(7), 'cut', framing, damage);
    const tasks = Array.from(
      { length: whole.bytes.length + 1 },
      (_, cutAt) => () => playConversation([{ ...whole, cutAt }], new SeededRandom(cutAt)),
    );
    await inParallel(tasks);
  });
});
