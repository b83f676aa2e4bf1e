/** A fleet of a tool's own: in a folder of its own, taken down also when the tool is interrupted. */
import { Fleet, type FleetOptions } from '../fleet/fleet.js';
import { stopFleetOnSignal } from './interrupt.js';
import { createWorkFolder, removeWorkFolder } from './work-folder.js';

export interface TemporaryFleet {
  fleet: Fleet;
  workFolder: string;
  /** Takes the fleet down and removes its folder. */
  close(): Promise<void>;
}

/** @param purpose names the folder */
export async function startTemporaryFleet(
  purpose: string,
  options: Omit<FleetOptions, 'workFolder' | 'onCreated'>,
): Promise<TemporaryFleet> {
  const running: { fleet?: Fleet } = {};
  stopFleetOnSignal(() => running.fleet);
  const workFolder = createWorkFolder(purpose);
  const fleet = await Fleet.up({
    ...options,
    workFolder,
    onCreated: (created) => {
      running.fleet = created;
    },
  });
  return {
    fleet,
    workFolder,
    async close() {
      await fleet.down();
      removeWorkFolder(workFolder);
    },
  };
}
