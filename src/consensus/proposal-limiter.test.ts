/** Admission, queueing and rejection of commands on a leader. */
import { describe, expect, it } from 'vitest';
import { Deferred, sleep } from '../common/index.js';
import { createCommitTimings } from './commit-timings.js';
import { GroupOverloadedError } from './errors.js';
import { ProposalLimiter } from './proposal-limiter.js';

const COMMIT_TARGET_MS = 20;
const MAX_WAIT_MS = 200;
/** More than half of the initial window, so that only one is in flight. */
const LARGE_BYTES = 300 * 1024;

class Log {
  /** First byte of each appended command, in order. */
  readonly appended: number[] = [];
  readonly reported: number[] = [];
  private readonly open: Deferred<unknown>[] = [];
  readonly limiter = new ProposalLimiter({
    group: 'test',
    commitTargetMs: COMMIT_TARGET_MS,
    maxWaitMs: MAX_WAIT_MS,
    append: ({ command }) => this.append(command),
    times: createCommitTimings(),
    onRefused: (count) => this.reported.push(count),
  });

  /** Resolves with the result, or with the class name of the error. */
  async propose(number: number, bytes = LARGE_BYTES): Promise<unknown> {
    const command = Buffer.alloc(bytes, number);
    return this.limiter.submit({ command }).catch((error: Error) => error.constructor.name);
  }

  /** Commits the oldest uncommitted command. */
  async commit(): Promise<void> {
    this.open.shift()!.resolve('committed');
    await sleep(0);
  }

  private append(command: Uint8Array): Promise<unknown> {
    const committed = new Deferred<unknown>();
    this.appended.push(command[0]!);
    this.open.push(committed);
    return committed.promise;
  }
}

describe('proposal limiter', () => {
  it('admits small commands immediately, and a single one of any size', async () => {
    const log = new Log();
    for (let number = 0; number < 100; number += 1) void log.propose(number, 200);
    expect(log.appended).toHaveLength(100);
    const secondLog = new Log();
    void secondLog.propose(1, 3 * LARGE_BYTES);
    expect(secondLog.appended).toEqual([1]);
  });

  it('admits the next command in order when one is committed', async () => {
    const log = new Log();
    const results = [1, 2, 3].map((number) => log.propose(number));
    expect(log.appended).toEqual([1]);
    expect(log.limiter.hasWaiting).toBe(true);
    await log.commit();
    await log.commit();
    expect(log.appended).toEqual([1, 2, 3]);
    expect(log.limiter.hasWaiting).toBe(false);
    await log.commit();
    expect(await Promise.all(results)).toEqual(['committed', 'committed', 'committed']);
  });

  it('rejects commands that waited too long, and reports it', async () => {
    const log = new Log();
    void log.propose(1);
    const rejected = await Promise.all([log.propose(2), log.propose(3)]);
    expect(rejected).toEqual([GroupOverloadedError.name, GroupOverloadedError.name]);
    expect(log.appended).toEqual([1]);
    expect(log.limiter.refused).toBe(2);
    expect(log.reported).toEqual([1]);
  });

  it('admits the newest command first once the oldest has waited long', async () => {
    const log = new Log();
    void log.propose(1);
    void log.propose(2);
    await sleep(MAX_WAIT_MS * 0.75);
    void log.propose(3);
    await log.commit();
    expect(log.appended).toEqual([1, 3]);
  });

  it('reduces the window while commits are late', async () => {
    const log = new Log();
    void log.propose(1, 100 * 1024);
    for (let number = 2; number < 6; number += 1) {
      void log.propose(number, 200 * 1024);
      await sleep(2 * COMMIT_TARGET_MS);
      await log.commit();
    }
    void log.propose(6, 200 * 1024);
    expect(log.limiter.hasWaiting).toBe(true);
  });

  it('rejects waiting commands when leadership ends, and can be used again', async () => {
    const log = new Log();
    void log.propose(1);
    const waiting = log.propose(2);
    log.limiter.close(new Error('not the leader'));
    expect(await waiting).toBe(Error.name);
    void log.propose(3);
    expect(log.appended).toEqual([1, 3]);
  });
});
