/** Takes a fleet down when the tool is interrupted. */
import type { Fleet } from '../fleet/fleet.js';

const EXIT_INTERRUPTED = 130;

/** On Ctrl-C or SIGTERM: takes the fleet down; a second time: kills it at once. */
export function stopFleetOnSignal(current: () => Fleet | undefined): void {
  let isStopping = false;
  const onSignal = (): void => {
    const fleet = current();
    if (isStopping || !fleet) {
      fleet?.killAll();
      process.exit(EXIT_INTERRUPTED);
    }
    isStopping = true;
    void fleet.down().finally(() => process.exit(EXIT_INTERRUPTED));
  };
  process.on('SIGINT', onSignal);
  process.on('SIGTERM', onSignal);
  process.on('exit', () => current()?.killAll());
}
