/**
 * Fills a journal state machine and prints its memory usage. `state-experiment.ts` runs it as a
 * separate process, so that the heap holds nothing else.
 *
 *     node journal-memory-host.js PROGRAMS CALLS_PER_PROGRAM TOKENS_PER_CALL
 */
import { JournalStateMachine, type JournalCommand } from '../../src/journal/index.js';
import { encodeValue } from '../../src/wire/index.js';

export interface JournalMemory {
  heapBytes: number;
  snapshotBytes: number;
  snapshotMs: number;
}

const [programs, callsEach, tokensPerCall] = process.argv.slice(2).map(Number) as [
  number,
  number,
  number,
];
const CHARACTERS_PER_TOKEN = 4;
const ANSWER_FRACTION = 0.3;
const TENANT = 'tenant-1';

const machine = new JournalStateMachine(() => undefined);

function apply(command: JournalCommand): void {
  machine.apply(encodeValue({ atMs: 1, command }));
}

function createText(tokens: number, name: string): string {
  return name.padEnd(Math.round(tokens * CHARACTERS_PER_TOKEN), 'x');
}

function addProgram(programId: string): void {
  const base = { programId, tenant: TENANT };
  const limits = { maxCalls: 1_000, maxDepth: 1, maxRepeatedCalls: 8, idleTimeoutMs: 1e9 };
  apply({ type: 'open', ...base, model: 'm', budget: 1e9, deadlineMs: 1e9, limits });
  for (let sequence = 1; sequence <= callsEach; sequence += 1) {
    const content = createText(tokensPerCall * (1 - ANSWER_FRACTION), `${programId}#${sequence}`);
    apply({
      type: 'begin',
      ...base,
      sequence,
      submission: 1,
      requestHash: `${programId}#${sequence}`.padEnd(64, '0'),
      request: {
        kind: 'model',
        messages: [{ role: 'user', content }],
        maxOutputTokens: 100,
        isRepeatable: true,
      },
      token: `${programId}/${sequence}`,
      gateway: { id: 'gateway', incarnation: 'one' },
      backend: 'engine-1',
      serviceCost: 0,
    });
    const answer = createText(tokensPerCall * ANSWER_FRACTION, `answer ${programId}#${sequence}`);
    const outcome = 'completed' as const;
    const finish = { ...base, sequence, attempt: 1, outcome, answer, cost: 10, backends: [] };
    apply({ type: 'finish', finishReason: 'stop', ...finish });
  }
}

globalThis.gc!();
const baselineHeapBytes = process.memoryUsage().heapUsed;
for (let index = 0; index < programs; index += 1) {
  addProgram(`p${index.toString(16).padStart(24, '0')}`);
}
globalThis.gc!();
const heapBytes = process.memoryUsage().heapUsed - baselineHeapBytes;
const startedAt = performance.now();
const snapshotBytes = Buffer.concat([...machine.snapshot()]).length;
const snapshotMs = performance.now() - startedAt;
const result: JournalMemory = { heapBytes, snapshotBytes, snapshotMs };
process.stdout.write(`${JSON.stringify(result)}\n`);
