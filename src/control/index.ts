/** The control process. */
export { ControlProcess, type ControlProcessHooks } from './control-process.js';
export type { ConfigurationStatus } from './intents-leader.js';
