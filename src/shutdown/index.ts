/** Planned stops: which work still fits before the process ends, and how the rest is ended. */
export * from './graceful-shutdown.js';
export * from './drain-server.js';
