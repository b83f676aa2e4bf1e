/** The internal protocol: authenticated, framed, typed requests between processes. */
export * from './errors.js';
export {
  decodeFrames,
  decodeValue,
  encodeFrame,
  encodeValue,
  FrameDecoder,
} from './frame-codec.js';
export * from './method.js';
export { PeerLink, type PeerLinkOptions, parseAddress } from './peer-link.js';
export { RpcServer, type RpcServerOptions } from './rpc-server.js';
export type { CallOptions } from './pending-calls.js';
export {
  type WireCounters,
  receivedByMethod,
  sentByMethod,
  wireCounters,
} from './wire-counters.js';
