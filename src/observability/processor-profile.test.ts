/** Sums of sampled processor time. */
import { describe, expect, it } from 'vitest';
import type { ProfileNode } from './cpu-profile.js';
import { summarizeProfile } from './processor-profile.js';

function node(id: number, functionName: string, children: number[] = []): ProfileNode {
  return { id, callFrame: { functionName, url: '' }, children };
}

describe('summarizeProfile', () => {
  const nodes = [
    node(1, '(root)', [2, 3, 4, 6]),
    node(2, '(idle)'),
    node(3, '(program)'),
    node(4, 'sendEntries', [5]),
    node(5, 'slice'),
    node(6, 'unnamed purpose'),
  ];

  it('counts a function without a purpose for its nearest caller with one', () => {
    const { byPurpose } = summarizeProfile({
      nodes,
      samples: [4, 5, 3, 6, 2],
      timeDeltas: [500, 1_000, 2_000, 4_000, 8_000, 16_000],
    });
    expect(Object.fromEntries(byPurpose)).toEqual({ replicate: 3, native: 4, other: 8 });
  });

  it('counts the own time of functions, without idle time, most first', () => {
    const { byFunction } = summarizeProfile({
      nodes,
      samples: [5, 3, 2],
      timeDeltas: [0, 1_000, 3_000, 9_000],
    });
    expect([...byFunction]).toEqual([
      ['(program)', 3],
      ['slice', 1],
    ]);
  });
});
