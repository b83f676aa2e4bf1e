/** A logger for processes whose standard output carries figures only. */
import type { Logger } from '../src/observability/index.js';

export const SILENT_LOGGER: Logger = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};
