/**
 * Replicated groups: a log agreed on by a quorum and applied to a state machine on every member.
 */
export * from './configuration.js';
export * from './errors.js';
export { GroupHost, type GroupHostOptions } from './group-host.js';
export { JOIN, type JoinRequest, type JoinResponse } from './messages.js';
export * from './options.js';
export {
  type PeerCaller,
  PeerDirectory,
  type PeerDirectoryOptions,
  type PeerNotifier,
} from './peer-directory.js';
export { ReplicatedGroup } from './replicated-group.js';
export type { ReplicationTraffic } from './replication-traffic.js';
export type { ExternalDeletions, ExternalState, StateMachine } from './state-machine.js';
export {
  GroupClient,
  type GroupClientOptions,
  type GroupCallOptions,
  type HeardLeader,
} from './group-client.js';
export type { TryResult } from './open-tries.js';
export type { LeaderRefusal } from './leader-refusal.js';
export { type LeaderAnswer, answerAsLeader, callLeader } from './leader-calls.js';
export { registerGroupService, type GroupServiceHooks } from './group-service.js';
