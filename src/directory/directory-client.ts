/** Client of the directory, for use in any process. */
import {
  type GroupCallOptions,
  type GroupClient,
  type LeaderAnswer,
  callLeader,
} from '../consensus/index.js';
import {
  type CrashRecord,
  LIST_CRASHES,
  REMOVE_CRASHES,
  type RequestKey,
} from '../crash-guard/index.js';
import type { RouteConfiguration } from '../routes/index.js';
import type { Method } from '../wire/index.js';
import type { BackendRegistration } from './backend-registration.js';
import type { Incarnation } from './incarnation.js';
import type { ServiceVersions } from './service-versions.js';
import type { RetirementState } from './directory-state-machine.js';
import {
  COMMITTED_UPDATE,
  type CommittedUpdate,
  type CommittedUpdateRequest,
  COMPLETE_RETIREMENT,
  DIRECTORY_GROUP,
  type DirectoryView,
  HEARTBEAT,
  PUT_CONFIGURATION,
  READ_CONFIGURATION,
  REMOVE_BACKEND,
  RETIREMENT_STATE,
  type RetirementResponse,
  SERVICE_VERSIONS,
  START_RETIREMENT,
  WATCH,
  type WatchRequest,
} from './messages.js';
import { packConfiguration } from './packed-configuration.js';

/** Time limit for one member to return its committed update before the next member is asked. */
export const COMMITTED_UPDATE_TIMEOUT_MS = 300;
/** Time limit for a request of an operator. */
export const OPERATOR_REQUEST_TIMEOUT_MS = 2_500;
/** Callers of registrations time out after one second. */
export const REGISTRATION_TIMEOUT_MS = 800;
const READ_TIMEOUT_MS = 900;
const TRY_TIMEOUT_MS = 400;
/** Time limit for the versions of a service, for which a call waits. */
const VERSIONS_TIMEOUT_MS = 400;

export class DirectoryClient {
  /** @param groups client that has the addresses of the control processes */
  constructor(private readonly groups: GroupClient) {}

  /** Resolves once the configuration, or one of a higher generation, is committed. */
  async putConfiguration(configuration: RouteConfiguration, source: string): Promise<void> {
    const packed = packConfiguration(configuration, source);
    await this.call(PUT_CONFIGURATION, packed, OPERATOR_REQUEST_TIMEOUT_MS);
  }

  /** The latest committed configuration, as the operator sent it. */
  async readConfiguration(): Promise<string | undefined> {
    const response = await this.call(READ_CONFIGURATION, {}, READ_TIMEOUT_MS);
    return response.source;
  }

  /** Resolves once the changes that the registration brings, if any, are committed. */
  async recordHeartbeat(registration: BackendRegistration): Promise<void> {
    await this.call(HEARTBEAT, registration, REGISTRATION_TIMEOUT_MS);
  }

  async removeBackend(incarnation: Incarnation): Promise<void> {
    await this.call(REMOVE_BACKEND, incarnation, REGISTRATION_TIMEOUT_MS);
  }

  /** Software versions of the services' backends that are registered when this is called, or were within a time. */
  serviceVersions(services: readonly string[], withinMs: number): Promise<ServiceVersions> {
    return this.call(SERVICE_VERSIONS, { services, withinMs }, VERSIONS_TIMEOUT_MS);
  }

  startRetirement(node: string): Promise<RetirementResponse> {
    return this.call(START_RETIREMENT, { node }, READ_TIMEOUT_MS);
  }

  retirementState(node: string): Promise<RetirementState | 'none'> {
    return this.call(RETIREMENT_STATE, { node }, READ_TIMEOUT_MS);
  }

  /** Reports that a ledger group has removed a node, which is retired once all of them have. */
  async reportLeftGroup(node: string, group: string): Promise<void> {
    await this.call(COMPLETE_RETIREMENT, { node, group }, OPERATOR_REQUEST_TIMEOUT_MS);
  }

  /** Requests under which backends ended. */
  async listCrashes(): Promise<CrashRecord[]> {
    return (await this.call(LIST_CRASHES, {}, READ_TIMEOUT_MS)).requests;
  }

  /** Forgets the ends under a request, so that it is sent again. @returns whether any were known */
  async removeCrashes(key: RequestKey): Promise<boolean> {
    return (await this.call(REMOVE_CRASHES, { key }, READ_TIMEOUT_MS)).wasKnown;
  }

  /** Long poll: the leader responds when there is an update, or after `WATCH_LONG_POLL_MS`. */
  watch(request: WatchRequest, limits: GroupCallOptions): Promise<DirectoryView> {
    return callLeader(this.groups, DIRECTORY_GROUP, WATCH, request, limits);
  }

  /**
   * Fetches what one member has applied; successive calls ask the members in turn.
   * @throws LinkError, TimeoutError if that member does not respond
   */
  fetchCommittedUpdate(held: CommittedUpdateRequest): Promise<CommittedUpdate> {
    const limits = { timeoutMs: COMMITTED_UPDATE_TIMEOUT_MS };
    return this.groups.callAnyMember(DIRECTORY_GROUP, COMMITTED_UPDATE, held, limits);
  }

  private call<Request, Answer>(
    method: Method<Request, LeaderAnswer<Answer>>,
    request: Request,
    timeoutMs: number,
  ): Promise<Answer> {
    const limits = { timeoutMs, tryTimeoutMs: TRY_TIMEOUT_MS };
    return callLeader(this.groups, DIRECTORY_GROUP, method, request, limits);
  }
}
