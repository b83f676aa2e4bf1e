/** Time of CPU profiles must count for the function that ran, not for the one that ran before it. */
import { expect, it } from 'vitest';
import { sumSelfTimes } from './cpu-profile.js';

it('counts a sample until the next one', () => {
  const profile = { nodes: [], samples: [1, 2, 1, 3], timeDeltas: [500, 1_000, 4_000, 2_000] };
  const times = sumSelfTimes(profile, (id) => `function-${id}`);
  expect([...times]).toEqual([
    ['function-1', 1 + 2],
    ['function-2', 4],
    ['function-3', 0],
  ]);
});
