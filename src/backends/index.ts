/** Back ends: model engines and small services, and what is known of each. */
export { Backend, type LoadReport } from './backend.js';
export { BackendTable } from './backend-table.js';
export * from './engine-client.js';
export * from './errors.js';
export { LoadFetcher, LoadPoller } from './load-poller.js';
export * from './service-client.js';
