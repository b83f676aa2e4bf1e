import { LedgegaugeError } from '../common/index.js';

/** Data that had been synced is damaged: the member must not start with this folder. */
export class DamagedLogError extends LedgegaugeError {}

/** The data folder has no room left; nothing was written. */
export class StorageFullError extends LedgegaugeError {}

/** The disk itself takes no more bytes, whatever the quota says; other members may have room. */
export class DiskFullError extends StorageFullError {}

/** A write or sync failed in a way that leaves the file's content unknown. */
export class StorageFailedError extends LedgegaugeError {}
