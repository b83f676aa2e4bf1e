/** Values by key on this machine's disk, with a bounded part of them in memory. */
export { type StoreFile, type StoreFolder, openStoreFolder } from './store-folder.js';
export { ValueStore, type ValueStoreOptions } from './value-store.js';
