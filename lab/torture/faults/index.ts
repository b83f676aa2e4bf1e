/** Registry of all faults. */
import { LedgegaugeError } from '../../../src/common/index.js';
import type { Fault } from '../fault.js';
import { BACKEND_FAULTS } from './backend-faults.js';
import { DISK_FAULTS } from './disk-faults.js';
import { NETWORK_FAULTS } from './network-faults.js';
import { PROCESS_FAULTS } from './process-faults.js';

export { PLANNED_STOPS } from './process-faults.js';

export const ALL_FAULTS: readonly Fault[] = [
  ...PROCESS_FAULTS,
  ...NETWORK_FAULTS,
  ...DISK_FAULTS,
  ...BACKEND_FAULTS,
];

/** @param names `all` or comma-separated names @throws LedgegaugeError for an unknown name */
export function selectFaults(names: string): Fault[] {
  if (names === 'all') return [...ALL_FAULTS];
  return names.split(',').map((name) => {
    const fault = ALL_FAULTS.find((candidate) => candidate.name === name);
    if (fault) return fault;
    const known = ALL_FAULTS.map((candidate) => candidate.name).join(', ');
    throw new LedgegaugeError(`unknown fault ${name}; expected one of: ${known}`, {
      step: 'cli.usage',
    });
  });
}
