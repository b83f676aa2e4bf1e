import { LedgegaugeError } from '../common/index.js';

/** The settings are wrong; the message names file, path in the file and what would be right. */
export class SettingsError extends LedgegaugeError {}
