/** Progress bar on standard error, shown only on a terminal. */
import { Presets, SingleBar } from 'cli-progress';

export interface Progress {
  update(done: number, total: number, step: string): void;
  stop(): void;
}

export function createProgress(title: string, isQuiet: boolean): Progress {
  if (isQuiet || !process.stderr.isTTY) {
    return { update: () => undefined, stop: () => undefined };
  }
  const bar = new SingleBar(
    { format: `${title} {bar} {value}/{total} {step}`, stream: process.stderr },
    Presets.shades_classic,
  );
  bar.start(1, 0, { step: '' });
  return {
    update(done, total, step) {
      bar.setTotal(total);
      bar.update(done, { step });
    },
    stop: () => bar.stop(),
  };
}
