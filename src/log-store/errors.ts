import { LedgegaugeError } from '../common/index.js';

/** Data that had been synced is damaged: the member must not start with this folder. */
export class DamagedLogError extends LedgegaugeError {}

/** The data folder has no room left; nothing was written. */
export class StorageFullError extends LedgegaugeError {}

/** A write or sync failed in a way that leaves the file's content unknown. */
export class StorageFailedError extends LedgegaugeError {}
