/**
 * Fuzz test over real sockets with a backend that truncates, resets, delays and splits responses and
 * sends unsolicited data. A response may only count as complete if the caller has received the full body
 * of its own call, and no connection may leak.
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
import { identityHeaderLines, sendRaw } from '../../tests/support/raw-sends.js';
import { waitUntil } from '../../tests/support/wait-until.js';
import { SeededRandom } from '../common/index.js';
import { BackendConnectionPool } from './backend-connections.js';

/** Seeds of earlier failures, with the cause. */
const FAILED_SEEDS: readonly number[] = [
  // The test backend wrote a foreign response into the middle of its next response.
  632882262,
  // A close after a complete response while the next request is written, which correctly fails.
  517682882,
];
const REGULAR_SEEDS = 30;
const CALLS_PER_SEED = 8;
const FAULTS = ['none', 'none', 'close', 'reset', 'foreign-answer', 'garbage'] as const;
const FRAMINGS = ['length', 'chunks', 'until-close'] as const;
const PARALLEL = 16;

type Fault = (typeof FAULTS)[number];
type Framing = (typeof FRAMINGS)[number];

interface PlannedResponse {
  id: string;
  body: string;
  framing: Framing;
  fault: Fault;
  /** Number of bytes written before the connection is closed or reset. */
  cutAt: number;
  bytes: string;
  headBytes: number;
}

function headOf(id: string, framing: Framing, bodyBytes: number): string {
  const lines = ['HTTP/1.1 200 OK', ...identityHeaderLines(id)];
  if (framing === 'length') lines.push(`Content-Length: ${bodyBytes}`);
  if (framing === 'chunks') lines.push('Transfer-Encoding: chunked');
  return `${lines.join('\r\n')}\r\n\r\n`;
}

function plan(
  random: SeededRandom,
  id: string,
  framing: Framing = random.pick(FRAMINGS),
  fault: Fault = random.pick(FAULTS),
): PlannedResponse {
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
  return { id, body, framing, fault, cutAt, bytes, headBytes: head.length };
}

function scriptOf(response: PlannedResponse, random: SeededRandom): ScriptStep[] {
  const { bytes, fault, cutAt, framing } = response;
  const isCut = fault === 'close' || fault === 'reset';
  const sent = isCut ? bytes.slice(0, cutAt) : bytes;
  const steps: ScriptStep[] = split(sent, random);
  if (fault === 'close') steps.push(close);
  else if (fault === 'reset') steps.push(...reset);
  else if (framing === 'until-close') steps.push(close);
  else if (fault === 'foreign-answer') steps.push(write(`${headOf('nobody', 'length', 2)}no`));
  else if (fault === 'garbage') steps.push(write('\u0000garbage\r\n\r\n'));
  return steps;
}

function split(bytes: string, random: SeededRandom): ScriptStep[] {
  const at = random.integer(0, bytes.length);
  if (random.chance(0.5)) return [write(bytes)];
  return [write(bytes.slice(0, at)), wait(1), write(bytes.slice(at))];
}

/** Whether the response may count as complete, given the bytes that the backend sent. */
function isCompleteAllowed(response: PlannedResponse, body: string): boolean {
  const { framing, fault, cutAt, bytes, headBytes } = response;
  if (endsWithoutContent(response)) return false;
  if (fault !== 'close' && fault !== 'reset') return body === response.body;
  if (cutAt === bytes.length && framing !== 'until-close') return body === response.body;
  // An orderly close ends a close-delimited response at any position of its body.
  const isOrderlyEnd = fault === 'close' && framing === 'until-close' && cutAt > headBytes;
  return isOrderlyEnd && body === bytes.slice(headBytes, cutAt);
}

/** Whether nothing but the close of the connection tells that the body is empty, as after a cut. */
function endsWithoutContent({ framing, body }: PlannedResponse): boolean {
  return framing === 'until-close' && body === '';
}

/** Whether the connection may fail the next call after a complete response. */
function mayFailNextCall({ fault, cutAt, bytes }: PlannedResponse): boolean {
  const isCutAtEnd = (fault === 'close' || fault === 'reset') && cutAt === bytes.length;
  return fault === 'foreign-answer' || fault === 'garbage' || isCutAtEnd;
}

/** Answer to a client of another test, whose server had the port of this backend before. */
const FOREIGN_REQUEST_SCRIPT: readonly ScriptStep[] = [close];

function callIdOf(requestHead: string): string {
  return requestHead.split(' ')[1]!.slice(1);
}

/** Sends calls sequentially over reused connections and checks each response. */
async function runCalls(responses: PlannedResponse[], random: SeededRandom): Promise<void> {
  const scripts = new Map(responses.map((response) => [response.id, scriptOf(response, random)]));
  const backend = await RawBackend.start(
    (request) => scripts.get(callIdOf(request)) ?? FOREIGN_REQUEST_SCRIPT,
  );
  try {
    const connections = new BackendConnectionPool(backend.address, () => 2);
    for (const response of responses) {
      const { result, body } = await sendRaw(connections, { id: response.id });
      if (result.kind === 'complete') {
        expect(isCompleteAllowed(response, body), JSON.stringify({ response, body })).toBe(true);
      } else if (endsWithoutContent(response)) {
        expect(['broken', 'not-sent']).toContain(result.kind);
      } else if (response.fault === 'none' && result.kind === 'broken') {
        // An undamaged response may only break because of an earlier response on the connection.
        expect(responses.some(mayFailNextCall)).toBe(true);
      }
      expect(result.kind).not.toBe('not-executed');
    }
    const received = backend.requests.map(callIdOf).filter((id) => scripts.has(id));
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

describe('calls to a misbehaving backend', () => {
  it.each(fuzzSeeds(FAILED_SEEDS, REGULAR_SEEDS))('seed %i', async (seed) => {
    const random = new SeededRandom(seed);
    const responses = Array.from({ length: CALLS_PER_SEED }, (_, n) =>
      plan(random, `c${seed}-${n}`),
    );
    await runCalls(responses, random);
  });
});

describe('a response truncated at every byte', () => {
  const cases = FRAMINGS.flatMap((framing) =>
    (['close', 'reset'] as const).map((fault) => ({ framing, fault })),
  );
  it.each(cases)('$framing, $fault', async ({ framing, fault }) => {
    const complete = plan(new SeededRandom(7), 'cut', framing, fault);
    const tasks = Array.from(
      { length: complete.bytes.length + 1 },
      (_, cutAt) => () => runCalls([{ ...complete, cutAt }], new SeededRandom(cutAt)),
    );
    await inParallel(tasks);
  });
});
