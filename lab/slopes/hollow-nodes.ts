/** Hollow nodes before a measured control group, once they all hold their leases. */
import type { HollowNodeSpecification, HollowNodeSettings } from '../hollow/hollow-messages.js';
import type { HollowProcess } from '../hollow/hollow-process.js';
import type { ControlFleet } from './control-fleet.js';

type MeasuredSettings = Pick<HollowNodeSettings, 'engineSubset' | 'maxLoadAgeMs'>;

const RENEW_INTERVAL_MS = 400;
const MAX_LOAD_POLLS = 1;

/** Nodes hold their own documents, because their memory is measured. */
export async function startMeasuredNodes(
  hollow: HollowProcess,
  control: ControlFleet,
  nodes: HollowNodeSpecification[],
  settings: MeasuredSettings,
): Promise<void> {
  await hollow.send({
    type: 'start',
    nodes,
    runners: [],
    sharesDocuments: false,
    settings: {
      secret: control.secret,
      controlAddresses: control.controlAddresses,
      renewIntervalMs: RENEW_INTERVAL_MS,
      maxLoadPolls: MAX_LOAD_POLLS,
      ...settings,
    },
  });
  await control.fleet.waitFor('leases held', async () => {
    const states = await hollow.states();
    return states.every((node) => node.isHeld);
  });
}
