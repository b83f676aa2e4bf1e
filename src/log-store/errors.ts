import { LedgegaugeError } from '../common/errors.js';

/** Synced data is damaged. The member must not start with this data folder. */
export class DamagedLogError extends LedgegaugeError {}

/** The data folder has no space left; nothing was written. */
export class StorageFullError extends LedgegaugeError {}

/** The disk itself is full, independent of the quota. Other members may have space. */
export class DiskFullError extends StorageFullError {}

/** A write or sync failed and left the content of the file unknown. */
export class StorageFailedError extends LedgegaugeError {}
