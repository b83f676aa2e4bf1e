/** Fleet of one command run, in a temporary folder; also stopped when the command is interrupted. */
import { Fleet, type FleetOptions } from '../fleet/fleet.js';
import { stopFleetOnSignal } from './interrupt.js';
import { createWorkFolder, removeWorkFolder } from './work-folder.js';

export interface TemporaryFleet {
  fleet: Fleet;
  workFolder: string;
  /** Stops the fleet and removes its folder. */
  close(): Promise<void>;
}

/** @param purpose part of the folder's name */
export async function startTemporaryFleet(
  purpose: string,
  options: Omit<FleetOptions, 'workFolder' | 'onCreated'>,
): Promise<TemporaryFleet> {
  const current: { fleet?: Fleet } = {};
  stopFleetOnSignal(() => current.fleet);
  const workFolder = createWorkFolder(purpose);
  const fleet = await Fleet.up({
    ...options,
    workFolder,
    onCreated: (created) => {
      current.fleet = created;
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
