/** Key-value store on the local disk with a bounded in-memory cache. */
export { type StoreFile, type StoreFolder, openStoreFolder } from './store-folder.js';
export { ValueStore, type ValueStoreOptions } from './value-store.js';
