/** Stops the fleet when the command is interrupted. */
import type { Fleet } from '../fleet/fleet.js';

const EXIT_CODE_INTERRUPTED = 130;

/** Stops the fleet on SIGINT or SIGTERM; a second signal kills it immediately. */
export function stopFleetOnSignal(currentFleet: () => Fleet | undefined): void {
  let isStopping = false;
  const onSignal = (): void => {
    const fleet = currentFleet();
    if (isStopping || !fleet) {
      fleet?.killAll();
      process.exit(EXIT_CODE_INTERRUPTED);
    }
    isStopping = true;
    void fleet.down().finally(() => process.exit(EXIT_CODE_INTERRUPTED));
  };
  process.on('SIGINT', onSignal);
  process.on('SIGTERM', onSignal);
  process.on('exit', () => currentFleet()?.killAll());
}
