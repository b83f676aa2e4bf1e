/** Reads CPU profiles that Node.js writes (`node --cpu-prof`). */
import { readFileSync } from 'node:fs';
import type { CpuProfile } from '../src/observability/cpu-profile.js';

export {
  type CallFrame,
  type CpuProfile,
  type ProfileNode,
  inheritPurposes,
  sortedTimes,
  sumSelfTimes,
} from '../src/observability/cpu-profile.js';

export function readCpuProfile(file: string): CpuProfile {
  return JSON.parse(readFileSync(file, 'utf8')) as CpuProfile;
}
