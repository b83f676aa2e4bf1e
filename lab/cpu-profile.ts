/** Reads CPU profiles in the format of V8 (`node --cpu-prof`). */
import { readFileSync } from 'node:fs';

export interface CallFrame {
  functionName: string;
  url: string;
}

export interface ProfileNode {
  id: number;
  callFrame: CallFrame;
  /** Ids of the called functions' nodes. */
  children?: number[];
}

/** A profile as defined by the inspector protocol. */
export interface CpuProfile {
  nodes: ProfileNode[];
  /** Ids of the sampled nodes. */
  samples: number[];
  /** Time since the previous sample, or since the start of the profile, in microseconds. */
  timeDeltas: number[];
}

const MICROSECONDS_PER_MS = 1_000;

export function readCpuProfile(file: string): CpuProfile {
  return JSON.parse(readFileSync(file, 'utf8')) as CpuProfile;
}

/**
 * Sums the time of samples by name. A sample's function counts until the next sample is taken.
 * @param nameOf returns the name under which a node counts
 * @returns milliseconds by name
 */
export function sumSelfTimes(
  { samples, timeDeltas }: CpuProfile,
  nameOf: (nodeId: number) => string,
): Map<string, number> {
  const times = new Map<string, number>();
  samples.forEach((id, index) => {
    const milliseconds = (timeDeltas[index + 1] ?? 0) / MICROSECONDS_PER_MS;
    const name = nameOf(id);
    times.set(name, (times.get(name) ?? 0) + milliseconds);
  });
  return times;
}
