/** HTTP API for callers and the execution of their calls. */
export type { CallContext, CallSpecification } from './call-context.js';
export { dispatchTimeLeftMs } from './call-duration.js';
export { CallRunner } from './call-runner.js';
export { CallerApi } from './caller-api.js';
export { HistoryCache } from './history-cache.js';
export { ProgramHints } from './program-hints.js';
export { TenantAuthentication } from './tenant-authentication.js';
