/** The load line of a process. */
import { afterEach, describe, expect, it, vi } from 'vitest';
import type { LogFields, Logger } from '../observability/index.js';

import { receivedByMethod, wireCounters } from '../wire/index.js';
import { ProcessLoadLog } from './process-load-log.js';

describe('the load of a process', () => {
  afterEach(() => vi.useRealTimers());

  it('tells messages by method and processor time for each, once a second', () => {
    vi.useFakeTimers();
    const lines: LogFields[] = [];
    const logger = { info: (_: string, fields: LogFields) => lines.push(fields) };
    const log = new ProcessLoadLog(logger as unknown as Logger);
    wireCounters.messagesReceived += 80;
    wireCounters.messagesSent += 20;
    for (let count = 0; count < 60; count += 1) receivedByMethod.note('group.append');
    for (let count = 0; count < 5; count += 1) receivedByMethod.note('group.vote');
    vi.advanceTimersByTime(2_000);
    log.stop();
    expect(lines).toHaveLength(1);
    expect(lines[0]).toMatchObject({
      messages: 100,
      receivedRequests: 'group.append=60 group.vote=5',
    });
    expect(Number(lines[0]!.messageUs)).toBeGreaterThanOrEqual(0);
  });
});
