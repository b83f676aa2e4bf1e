/** Settings files: loading, validation, units. */
export * from './common-settings.js';
export * from './control-settings.js';
export * from './errors.js';
export * from './gateway-settings.js';
export * from './load-settings.js';
export * from './units.js';
