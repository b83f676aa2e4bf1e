/** HTTP components shared by the caller API, the operator API and the emulators. */
export {
  type BodyBounds,
  BodyBoundError,
  readBoundedJson,
  readBoundedText,
} from './bounded-body.js';
export { JsonReader, MalformedBodyError } from './json-reader.js';
export * from './http-router.js';
export * from './http-server.js';
export { readJson } from './json-body.js';
export { sendJson } from './responses.js';
export * from './problem.js';
export { createProbeServer } from './probe-server.js';
export * from './raw-headers.js';
export * from './server-sent-events.js';
export * from './backend-socket.js';
export { isPeerLost } from './lost-peer.js';
export { type ReceivedRequestHandler, RequestOrder, type RequestTurn } from './request-order.js';
export * from './connection-limits.js';
export { addConnectionGauges } from './connection-metrics.js';
export { ServerConnections, type ServerConnectionsOptions } from './server-connections.js';
export * from './request-server.js';
export { onSilentBody } from './silent-body.js';
export * from './text-decoding.js';
