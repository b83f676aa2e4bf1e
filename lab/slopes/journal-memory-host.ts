/**
 * Fills a journal's state machine and prints what it takes; run by `state-experiment.ts` as a process
 * of its own, so that nothing else is in the heap. Arguments: programs, calls each, tokens a call.
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
const ANSWER_SHARE = 0.3;
const TENANT = 'tenant-1';

const machine = new JournalStateMachine(() => undefined);

function apply(command: JournalCommand): void {
  machine.apply(encodeValue({ atMs: 1, command }));
}

function text(tokens: number, name: string): string {
  return name.padEnd(Math.round(tokens * CHARACTERS_PER_TOKEN), 'x');
}

function fillProgram(programId: string): void {
  const base = { programId, tenant: TENANT };
  const limits = { maxCalls: 1_000, maxDepth: 1, maxRepeatedCalls: 8, idleTimeoutMs: 1e9 };
  apply({ type: 'open', ...base, model: 'm', budget: 1e9, deadlineMs: 1e9, limits });
  for (let sequence = 1; sequence <= callsEach; sequence += 1) {
    const content = text(tokensPerCall * (1 - ANSWER_SHARE), `${programId}#${sequence}`);
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
    const answer = text(tokensPerCall * ANSWER_SHARE, `answer ${programId}#${sequence}`);
    const outcome = 'completed' as const;
    const finish = { ...base, sequence, attempt: 1, outcome, answer, cost: 10, backends: [] };
    apply({ type: 'finish', finishReason: 'stop', ...finish });
  }
}

globalThis.gc!();
const emptyHeap = process.memoryUsage().heapUsed;
for (let index = 0; index < programs; index += 1) {
  fillProgram(`p${index.toString(16).padStart(24, '0')}`);
}
globalThis.gc!();
const heapBytes = process.memoryUsage().heapUsed - emptyHeap;
const startedAt = performance.now();
const snapshotBytes = Buffer.concat([...machine.snapshot()]).length;
const snapshotMs = performance.now() - startedAt;
const result: JournalMemory = { heapBytes, snapshotBytes, snapshotMs };
process.stdout.write(`${JSON.stringify(result)}\n`);
