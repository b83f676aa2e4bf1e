/** Backends (model engines and small services) and their tracked state. */
export { Backend } from './backend.js';
export { BackendTable } from './backend-table.js';
export * from './engine-client.js';
export * from './errors.js';
export { LoadFetcher, LoadPoller } from './load-poller.js';
export type { LoadReport } from './load-report.js';
export * from './service-client.js';
