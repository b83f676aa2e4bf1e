/** Authentication of callers by API key, with a bounded staleness of the keys known to a process. */
export * from './access.js';
export { scopedId } from './scoped-id.js';
export { TenantTable } from './tenant-table.js';
