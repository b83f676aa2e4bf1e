/** Statistics in watch requests and answers of the directory's leader. */
import { describe, expect, it, vi } from 'vitest';
import { CommittingDirectory } from '../../tests/support/committing-directory.js';
import { sampleRegistration } from '../../tests/support/directory-samples.js';
import { INITIAL_KNOWN_VERSIONS, type WatchRequest } from '../directory/index.js';
import { type StatisticsReport, encodeReport, unpackConditions } from './messages.js';

function watchOf(gateway: string, statistics?: StatisticsReport): WatchRequest {
  return {
    node: { name: gateway, role: 'gateway', address: 'a:1', zone: 'z' },
    known: INITIAL_KNOWN_VERSIONS,
    isUrgent: true,
    loads: [],
    ...(statistics && { statistics }),
  };
}

function slowReport(): StatisticsReport {
  const tally = (id: string, ratio: number) => ({
    id,
    weight: 3,
    logRatios: 3 * Math.log(ratio),
    calls: 3,
    failures: 0,
  });
  return encodeReport([tally('i-1', 1), tally('i-2', 4), tally('i-3', 1)]);
}

async function registerThree({ leader }: CommittingDirectory): Promise<void> {
  for (const id of ['i-1', 'i-2', 'i-3']) {
    await leader.recordHeartbeat(sampleRegistration({ id, name: id, address: `${id}:1` }));
  }
}

describe("statistics in the directory's answers", () => {
  it('are absent if no gateway reports, as in independent mode', async () => {
    const directory = new CommittingDirectory();
    await registerThree(directory);
    const view = await directory.leader.watch(watchOf('g1'));
    expect('statistics' in view).toBe(false);
  });

  it('reach a gateway that has sent no call yet, and end with the leadership', async () => {
    vi.useFakeTimers({ toFake: ['performance'] });
    const directory = new CommittingDirectory();
    await registerThree(directory);
    for (const gateway of ['g1', 'g2', 'g3']) {
      await directory.leader.watch(watchOf(gateway, slowReport()));
    }
    vi.advanceTimersByTime(1_100);
    const { statistics } = await directory.leader.watch(watchOf('new'));
    const [slow, ...others] = unpackConditions(statistics!);
    expect(slow).toMatchObject({ id: 'i-2' });
    expect(slow!.slowdown).toBeGreaterThan(2);
    expect(others).toEqual([]);
    directory.leader.onLeadershipChange();
    const after = await directory.leader.watch(watchOf('g1'));
    expect('statistics' in after).toBe(false);
    vi.useRealTimers();
  });
});
