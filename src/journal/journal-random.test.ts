/** Invariants of the journal under random command sequences. */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { MAX_CALL_COST, JournalBench, TENANT } from '../../tests/support/journal-bench.js';

const bench = new JournalBench();
const { apply, open, begin, finish, restart } = bench;

describe('random commands', () => {
  it('never exceed a budget, run a refused submission or leave a gap between calls', () => {
    const step = fc.record({
      action: fc.constantFrom('begin', 'finish', 'restart', 'refuse', 'end', 'withdraw'),
      child: fc.integer({ min: 0, max: 2 }),
      sequence: fc.integer({ min: 1, max: 4 }),
      submission: fc.integer({ min: 1, max: 3 }),
      attempt: fc.integer({ min: 1, max: 3 }),
      cost: fc.integer({ min: 0, max: 3 * MAX_CALL_COST }),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
        bench.reset();
        const root = open({ programId: 'root', budget: 5 * MAX_CALL_COST });
        const ids = [
          root,
          open({ programId: 'root.a', parent: root }),
          open({ programId: 'root.b', parent: root }),
        ];
        const refused = new Set<string>();
        for (const { action, child, sequence, submission, attempt, cost } of steps) {
          const programId = ids[child]!;
          const name = `${programId}#${sequence}`;
          const target = { programId, tenant: TENANT, sequence };
          if (action === 'begin') {
            const answer = begin(programId, sequence, { submission });
            const isBegun = answer.status === 'begun';
            expect(isBegun && refused.has(`${name}/${submission}`)).toBe(false);
            if (answer.status === 'refused') refused.add(`${name}/${submission}`);
          } else if (action === 'refuse') {
            const answer = apply<{ status: string }>({
              type: 'refuse',
              ...target,
              submission,
              reason: 'overloaded',
            });
            if (answer.status === 'refused') refused.add(`${name}/${submission}`);
          } else if (action === 'finish') {
            finish(programId, sequence, { attempt, cost });
          } else if (action === 'restart') {
            restart(programId, sequence, { fromAttempt: attempt });
          } else if (action === 'withdraw') {
            const token =
              bench.machine.state.programs.get(programId)!.calls[sequence - 1]?.current.token;
            const reason = 'backend-refused' as const;
            apply({ type: 'withdraw', ...target, attempt, token: token ?? '', reason });
          } else if (submission === 3) {
            apply({ type: 'end', programId, tenant: TENANT, reason: 'ended-by-caller' });
          }
          for (const program of bench.machine.state.programs.values()) {
            expect(program.spent + program.reserved).toBeLessThanOrEqual(program.budget);
            expect(program.reserved).toBeGreaterThanOrEqual(0);
            expect(program.calls.map((entry) => entry.sequence)).toEqual(
              program.calls.map((_, index) => index + 1),
            );
            const running = program.calls.filter((entry) => !entry.settled);
            expect(running.length).toBeLessThanOrEqual(1);
          }
        }
      }),
      { numRuns: 200 },
    );
  });
});
