/** The leader's board on simulated time. */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { HEALTH_TTL_MS, type ZoneHealth } from './messages.js';
import { ZoneHealthBoard } from './zone-health-board.js';

const ZONE = 'z1';

class Leader {
  nowMs = 0;
  readonly board = new ZoneHealthBoard(() => this.nowMs);

  /** Gateways that send requests without a report. */
  see(count: number, zone = ZONE): void {
    for (let number = 1; number <= count; number += 1)
      this.board.report(`${zone}-g${number}`, zone);
  }

  reportOverload(number: number, hasLeft = false, zone = ZONE): ZoneHealth {
    const name = `${zone}-g${number}`;
    this.board.report(name, zone, { isOverloaded: true, hasLeft });
    return this.board.viewFor(name);
  }

  reportRecovery(number: number): ZoneHealth {
    const name = `${ZONE}-g${number}`;
    this.board.report(name, ZONE, { isOverloaded: false, hasLeft: true });
    return this.board.viewFor(name);
  }
}

function permitted(views: readonly ZoneHealth[]): number {
  return views.filter(({ mayLeave }) => mayLeave).length;
}

describe('the board of a zone', () => {
  it('permits at most a third of the zone to leave if all are overloaded', () => {
    const leader = new Leader();
    leader.see(21);
    const views = Array.from({ length: 21 }, (_, index) => leader.reportOverload(index + 1));
    expect(permitted(views)).toBe(7);
    expect(views.at(-1)).toEqual({ gateways: 21, overloaded: 21, mayLeave: false });
  });

  it.each([1, 2])('permits none of a zone with %i gateways to leave', (count) => {
    const leader = new Leader();
    leader.see(count);
    expect(leader.reportOverload(1).mayLeave).toBe(false);
  });

  it('counts zones separately', () => {
    const leader = new Leader();
    leader.see(3, 'z1');
    leader.see(30, 'z2');
    expect(leader.reportOverload(1).mayLeave).toBe(true);
    expect(leader.reportOverload(2).mayLeave).toBe(false);
    expect(leader.reportOverload(1, false, 'z2')).toMatchObject({ gateways: 30, mayLeave: true });
  });

  it('passes a permission on once its holder has recovered', () => {
    const leader = new Leader();
    leader.see(3);
    expect(leader.reportOverload(1).mayLeave).toBe(true);
    expect(leader.reportOverload(2).mayLeave).toBe(false);
    expect(leader.reportOverload(1, true).mayLeave).toBe(true);
    expect(leader.reportRecovery(1)).toMatchObject({ overloaded: 1, mayLeave: false });
    expect(leader.reportOverload(2).mayLeave).toBe(true);
  });

  it('passes a permission on once its holder is silent, and counts the zone without it', () => {
    const leader = new Leader();
    leader.see(4);
    expect(leader.reportOverload(1).mayLeave).toBe(true);
    leader.nowMs += HEALTH_TTL_MS + 1;
    for (const number of [2, 3, 4]) leader.board.report(`${ZONE}-g${number}`, ZONE);
    expect(leader.reportOverload(2)).toEqual({ gateways: 3, overloaded: 1, mayLeave: true });
  });

  it('a report that a request does not repeat stays valid for its lifetime', () => {
    const leader = new Leader();
    leader.see(3);
    leader.reportOverload(1);
    leader.nowMs += HEALTH_TTL_MS / 2;
    leader.see(3);
    expect(leader.reportOverload(2)).toMatchObject({ overloaded: 2, mayLeave: false });
  });

  it('a new leader permits none to leave that has not left before the reports are complete', () => {
    const leader = new Leader();
    leader.board.clear();
    leader.see(2);
    expect(leader.reportOverload(1).mayLeave).toBe(false);
    expect(leader.reportOverload(2, true).mayLeave).toBe(true);
    leader.nowMs += HEALTH_TTL_MS;
    leader.see(3);
    expect(leader.reportOverload(2, true).mayLeave).toBe(true);
    expect(leader.reportOverload(1).mayLeave).toBe(false);
  });

  it('false reports take no permission from those that have left', () => {
    const leader = new Leader();
    leader.see(9);
    for (const number of [1, 2, 3]) expect(leader.reportOverload(number).mayLeave).toBe(true);
    for (const number of [4, 5, 6]) {
      leader.board.report(`${ZONE}-g${number}`, ZONE, { isOverloaded: true, hasLeft: true });
    }
    for (const number of [1, 2, 3]) expect(leader.reportOverload(number, true).mayLeave).toBe(true);
    for (const number of [4, 5, 6])
      expect(leader.reportOverload(number, true).mayLeave).toBe(false);
  });

  it('never permits more than a third, for any order of reports, losses and recoveries', () => {
    const step = fc.record({
      number: fc.integer({ min: 1, max: 9 }),
      kind: fc.constantFrom('see', 'overload', 'recover'),
      passedMs: fc.integer({ min: 0, max: 400 }),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 100 }), (steps) => {
        const leader = new Leader();
        /** Until when each gateway may be not ready, counted from its request. */
        const mayLeaveUntil = new Map<number, number>();
        for (const { number, kind, passedMs } of steps) {
          leader.nowMs += passedMs;
          leader.see(9);
          const hasLeft = (mayLeaveUntil.get(number) ?? 0) > leader.nowMs;
          if (kind === 'overload') {
            const { mayLeave } = leader.reportOverload(number, hasLeft);
            mayLeaveUntil.set(number, mayLeave ? leader.nowMs + HEALTH_TTL_MS : 0);
          } else if (kind === 'recover') {
            leader.reportRecovery(number);
            mayLeaveUntil.delete(number);
          }
          const left = [...mayLeaveUntil.values()].filter((until) => until > leader.nowMs);
          expect(left.length).toBeLessThanOrEqual(3);
        }
      }),
    );
  });
});
