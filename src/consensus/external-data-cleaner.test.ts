import { describe, expect, it } from 'vitest';
import { ExternalDataCleaner } from './external-data-cleaner.js';
import type { GroupEnvironment } from './group-environment.js';
import type { ReplicatedGroup } from './replicated-group.js';
import type { ExternalDeletions } from './state-machine.js';

/** Promise callbacks that run before the one which begins the second deletion. */
const STEPS = [0, 1, 2, 3, 4];

async function runSteps(count: number): Promise<void> {
  for (let step = 0; step < count; step += 1) await Promise.resolve();
}

describe('data that becomes unneeded just after a deletion', () => {
  /** Without a further entry, nothing would delete it. */
  it.each(STEPS)('is deleted without a further entry, %i steps after it', async (steps) => {
    const applier = { appliedIndex: 1, isStopped: false };
    const deletedUpTo: number[] = [];
    const deletions: ExternalDeletions = {
      get isPending() {
        return applier.appliedIndex > (deletedUpTo.at(-1) ?? 0);
      },
      reportedCommitIndex: 0,
      deleteUpTo: (index) => void deletedUpTo.push(index),
    };
    const group = { log: { saveCommitIndex: () => Promise.resolve() } };
    const cleaner = new ExternalDataCleaner(
      applier,
      group as unknown as ReplicatedGroup,
      deletions,
      {} as GroupEnvironment,
    );
    cleaner.deleteUnneeded();
    while (deletedUpTo.length === 0) await Promise.resolve();
    await runSteps(steps);
    applier.appliedIndex = 2;
    cleaner.deleteUnneeded();
    await runSteps(10);
    expect(deletedUpTo).toEqual([1, 2]);
  });
});
