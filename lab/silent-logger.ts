/** Logger that discards everything, for processes that write only results to standard output. */
import type { Logger } from '../src/observability/index.js';

export const SILENT_LOGGER: Logger = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};
