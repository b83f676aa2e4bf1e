/**
 * Replays plain calls on 10 servers of 6 slots with load figures of up to 0.2 s. If every gateway selects the server
 * that had the least load, they fill its queue before the next figures.
 */
import { describe, expect, it } from 'vitest';
import { StatisticsReplay } from '../../tests/support/statistics-replay.js';
import type { SchedulingMode } from '../routes/index.js';

const GATEWAYS = 63;
const END_MS = 10_000;

function rejectedShare(mode: SchedulingMode, rate: number, slowServer = 1): number {
  const fleet = new StatisticsReplay({
    mode,
    gateways: GATEWAYS,
    zones: ['z1', 'z2', 'z3'],
    backends: 10,
    slots: 6,
    queue: 24,
    rate,
    isModelCall: false,
    durationMs: [10, 55],
    slowdown: (server) => (server === 0 ? slowServer : 1),
    seed: 41,
  });
  fleet.runUntil(END_MS);
  const calls = fleet.calls.filter(({ at }) => at > 3_000);
  return calls.filter(({ ending }) => ending === 'rejected').length / calls.length;
}

describe('plain calls with outdated load figures', () => {
  it.each([
    { utilization: 0.75, rate: 22 },
    { utilization: 0.89, rate: 26 },
  ])(
    'are hardly rejected at a utilization of $utilization',
    ({ rate }) => {
      const independent = rejectedShare('independent', rate);
      const coordinated = rejectedShare('coordinated', rate);
      console.info(
        `${rate} calls/s: rejected ${independent.toFixed(4)} -> ${coordinated.toFixed(4)}`,
      );
      expect(independent).toBeGreaterThan(0.04);
      expect(coordinated).toBeLessThan(0.005);
    },
    60_000,
  );

  it('are hardly rejected by a server that is slower than the others', () => {
    const independent = rejectedShare('independent', 20, 3);
    const coordinated = rejectedShare('coordinated', 20, 3);
    console.info(`slow server: rejected ${independent.toFixed(4)} -> ${coordinated.toFixed(4)}`);
    expect(coordinated).toBeLessThan(0.01);
    expect(coordinated).toBeLessThan(independent);
  }, 60_000);
});
