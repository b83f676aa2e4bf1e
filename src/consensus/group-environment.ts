/** What a replicated group needs from its process. */
import type { StorageFullError } from '../log-store/index.js';
import type { CallOptions, Method } from '../wire/index.js';
import type { StoredSnapshotMarks } from './applier.js';
import type { Member } from './configuration.js';
import type { CheckedConsensusOptions } from './options.js';
import type { ReplicatedGroup } from './replicated-group.js';

/** Services that a group needs from its process. */
export interface GroupEnvironment {
  ownId: string;
  options: CheckedConsensusOptions;
  call<Request, Response>(
    member: Member,
    method: Method<Request, Response>,
    request: Request,
    options: CallOptions,
  ): Promise<Response>;
  /** Whether the link for votes to a member is established. */
  isConnected(member: Member): boolean;
  /** Requests heartbeats soon, for a read that waits for a quorum. */
  requestHeartbeats(): void;
  /** Called when this member gains or loses leadership. */
  onLeadershipChange(group: ReplicatedGroup): void;
  /** Called when a snapshot failed for lack of space; it is retried later. */
  onSnapshotSkipped(group: ReplicatedGroup, error: StorageFullError): void;
  /** Called when unneeded external data was not deleted for lack of space; it is retried later. */
  onDeletionSkipped(group: ReplicatedGroup, error: StorageFullError): void;
  /** Called when a snapshot is durable and the log has been compacted. */
  onSnapshotStored(group: ReplicatedGroup, snapshot: StoredSnapshotMarks): void;
  /** Called at most once per second while a leader rejects commands because of overload. */
  onProposalsRefused(group: ReplicatedGroup, count: number): void;
  onFatal(error: unknown): void;
}
