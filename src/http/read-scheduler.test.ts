/** The share of each connection in the event loop: none holds up another by what it has sent. */
import { describe, expect, it } from 'vitest';
import { waitUntil } from '../../tests/support/wait-until.js';
import { ReadScheduler, type ReadTask } from './read-scheduler.js';

const MANY_PARTS = 1_000;

function startTask(scheduler: ReadScheduler, parts: number, log: string[], name: string): void {
  let left = parts;
  const task: ReadTask = {
    readNext: () => {
      log.push(name);
      left -= 1;
      if (left > 0) scheduler.add(task);
    },
  };
  scheduler.add(task);
}

describe('connections with many received parts', () => {
  it('take turns, so that one with a single part does not wait for another to end', async () => {
    const scheduler = new ReadScheduler();
    const log: string[] = [];
    startTask(scheduler, MANY_PARTS, log, 'large');
    startTask(scheduler, 1, log, 'small');
    await waitUntil('read', () => log.length === MANY_PARTS + 1);
    expect(log.indexOf('small')).toBe(1);
    expect(scheduler.size).toBe(0);
  });

  it('leave the event loop to others between bounded numbers of parts', async () => {
    const scheduler = new ReadScheduler();
    const log: string[] = [];
    startTask(scheduler, MANY_PARTS, log, 'large');
    await new Promise((resolve) => setImmediate(resolve));
    await new Promise((resolve) => setImmediate(resolve));
    expect(log.length).toBeLessThan(MANY_PARTS / 10);
    await waitUntil('read', () => log.length === MANY_PARTS);
  });

  it('are forgotten when they are closed', async () => {
    const scheduler = new ReadScheduler();
    const task: ReadTask = { readNext: () => expect.unreachable() };
    scheduler.add(task);
    scheduler.delete(task);
    await new Promise((resolve) => setImmediate(resolve));
    expect(scheduler.size).toBe(0);
  });
});
