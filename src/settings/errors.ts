import { LedgegaugeError } from '../common/errors.js';

/** The settings are invalid; the message names the file, the path in it and what is expected. */
export class SettingsError extends LedgegaugeError {}
