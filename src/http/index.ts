/** HTTP parts that callers' and operators' interfaces and the emulators share. */
export * from './http-server.js';
export * from './problem.js';
export * from './raw-headers.js';
export * from './server-sent-events.js';
export * from './backend-socket.js';
