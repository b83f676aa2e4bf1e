/** Who calls, by the keys that operators give out, and for how long a process may trust what it knows of keys. */
export * from './access.js';
export { scopedId } from './scoped-id.js';
export { TenantTable } from './tenant-table.js';
