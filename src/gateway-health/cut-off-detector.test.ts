/** The detector on simulated time: partitions, leader changes, restarts and stalls. */
import { describe, expect, it } from 'vitest';
import { SeededRandom } from '../common/index.js';
import {
  CutOffDetector,
  type LeaderContact,
  SINGLE_LEADER_RECOVERY_MS,
} from './cut-off-detector.js';

const STEP_MS = 100;
/** The platform's interval between probes; it takes a gateway out after two misses in a row. */
const PROBE_INTERVAL_MS = 1_000;
const LONG_POLL_MS = 200;
const CALL_INTERVAL_MS = 170;
const PARTITION_MS = 5_500;
const SEEDS = [917_263_411, 220_845_937, 684_119_203];

/** Time in which a leader does not answer. */
interface Outage {
  fromMs: number;
  toMs: number;
}

/** Contact with a leader; the next request follows on an answer after an interval and is answered outside outages. */
class SimulatedLeader {
  private answeredAt = 0;

  constructor(
    private readonly outages: readonly Outage[],
    private readonly intervalMs: number,
  ) {}

  /** Advances by one millisecond. */
  advanceTo(nowMs: number): void {
    const isOut = this.outages.some(({ fromMs, toMs }) => nowMs >= fromMs && nowMs < toMs);
    if (!isOut && nowMs - this.answeredAt > this.intervalMs) this.answeredAt = nowMs;
  }

  contactAt(nowMs: number): LeaderContact {
    const answeredAgeMs = nowMs - this.answeredAt;
    return { silenceMs: Math.max(0, answeredAgeMs - this.intervalMs), answeredAgeMs };
  }
}

interface Schedule {
  directory?: Outage[];
  ledger?: Outage[];
  /** The process does not run in this time. */
  stall?: Outage;
  lastsMs: number;
}

/** Returns the times at which the detector, updated at an interval, says that the gateway is cut off. */
function cutOffTimes({ directory = [], ledger = [], stall, lastsMs }: Schedule): number[] {
  const detector = new CutOffDetector();
  const leaders = [
    new SimulatedLeader(directory, LONG_POLL_MS),
    new SimulatedLeader(ledger, CALL_INTERVAL_MS),
  ] as const;
  const times: number[] = [];
  for (let nowMs = 0; nowMs <= lastsMs; nowMs += 1) {
    const isStalled = stall !== undefined && nowMs >= stall.fromMs && nowMs < stall.toMs;
    if (isStalled) continue;
    if (nowMs % STEP_MS === 0) {
      const [first, second] = leaders;
      detector.update(nowMs, first.contactAt(nowMs), second.contactAt(nowMs));
      if (detector.isCutOff) times.push(nowMs);
    }
    for (const leader of leaders) leader.advanceTo(nowMs);
  }
  return times;
}

describe('the detector of a gateway that is cut off', () => {
  it('takes the gateway out within two probes of a partition and back directly after it', () => {
    const partition = { fromMs: 2_000, toMs: 2_000 + PARTITION_MS };
    const times = cutOffTimes({ directory: [partition], ledger: [partition], lastsMs: 10_000 });
    expect(times[0]).toBeLessThanOrEqual(partition.fromMs + PROBE_INTERVAL_MS);
    expect(times.at(-1)).toBeGreaterThanOrEqual(partition.toMs - STEP_MS);
    expect(times.at(-1)).toBeLessThanOrEqual(partition.toMs + 3 * STEP_MS);
  });

  it.each(['directory', 'ledger'] as const)(
    'ignores a loss of the leader of the %s alone',
    (group) => {
      const outage = { fromMs: 2_000, toMs: 2_000 + PARTITION_MS };
      expect(cutOffTimes({ [group]: [outage], lastsMs: 10_000 })).toEqual([]);
    },
  );

  it.each(SEEDS)('seed %i: ignores elections of both leaders at the same time', (seed) => {
    const random = new SeededRandom(seed);
    for (let election = 0; election < 100; election += 1) {
      const draw = (): Outage => {
        const fromMs = 2_000 + random.integer(0, 100);
        return { fromMs, toMs: fromMs + random.integer(300, 600) };
      };
      expect(cutOffTimes({ directory: [draw()], ledger: [draw()], lastsMs: 4_000 })).toEqual([]);
    }
  });

  it('is wrong for less than a probe interval if both elections are slow and found late', () => {
    const outage = { fromMs: 2_000, toMs: 2_000 + 600 + 250 };
    const times = cutOffTimes({ directory: [outage], ledger: [outage], lastsMs: 6_000 });
    expect(times.length * STEP_MS).toBeLessThan(PROBE_INTERVAL_MS / 2);
  });

  it('does not count the time in which the process was frozen', () => {
    const stall = { fromMs: 2_000, toMs: 8_000 };
    expect(cutOffTimes({ stall, lastsMs: 10_000 })).toEqual([]);
  });

  it('detects a partition that began during a stall', () => {
    const stall = { fromMs: 2_000, toMs: 4_000 };
    const partition = { fromMs: 3_000, toMs: 3_000 + PARTITION_MS };
    const times = cutOffTimes({
      stall,
      directory: [partition],
      ledger: [partition],
      lastsMs: 10_000,
    });
    expect(times[0]).toBeLessThanOrEqual(stall.toMs + PROBE_INTERVAL_MS);
  });

  it('does not wait for a group that stays down after a restart of the whole system', () => {
    const directory = [{ fromMs: 2_000, toMs: 4_000 }];
    const ledger = [{ fromMs: 2_000, toMs: 60_000 }];
    const times = cutOffTimes({ directory, ledger, lastsMs: 10_000 });
    expect(times.length).toBeGreaterThan(0);
    expect(times.at(-1)).toBeLessThanOrEqual(4_000 + SINGLE_LEADER_RECOVERY_MS + 2 * STEP_MS);
  });

  it('stays cut off while the leaders answer only in turn and briefly', () => {
    const directory = [
      { fromMs: 2_000, toMs: 4_000 },
      { fromMs: 4_300, toMs: 9_000 },
    ];
    const ledger = [{ fromMs: 2_000, toMs: 9_000 }];
    const times = cutOffTimes({ directory, ledger, lastsMs: 8_900 });
    expect(times.at(-1)).toBe(8_900);
  });

  it('ignores the silence of a ledger that was not asked', () => {
    const detector = new CutOffDetector();
    const directory = { silenceMs: 5_000, answeredAgeMs: 5_200 };
    for (let nowMs = 0; nowMs < 5_000; nowMs += STEP_MS) {
      detector.update(nowMs, directory, { silenceMs: 0, answeredAgeMs: 9_000 });
    }
    expect(detector.isCutOff).toBe(false);
  });
});
