/**
 * Decides at which software version the stream of a call may run. The ledger remembers it by the id of the caller's attempt,
 * so that the caller can resume the stream at any gateway.
 */
import { describeError, monotonicMs } from '../common/index.js';
import { type ServiceVersions, versionKeyOf } from '../directory/index.js';
import type { Ledger, ReservedStream, StreamRecord, VersionKey } from '../ledger/index.js';
import type { CompiledRoute } from '../routes/index.js';
import { scopedId } from '../tenants/index.js';
import type { BackendView } from './backend-view.js';
import type { CallDescription } from './call-exchange.js';
import type { Placement } from './placement.js';
import { StreamVersion } from './stream-version.js';
import { RefusedError, type Reservation, ledgerProgramOf } from './turn-reservations.js';

/** Limit for the ids of attempts that callers name. */
const MAX_ATTEMPT_ID_LENGTH = 256;
/** Maximum number of versions among which the ledger selects, and that a log entry names. */
const MAX_VERSIONS = 8;
/** Maximum time for replacing a recorded version, in milliseconds; the call is refused afterwards. */
const MAX_CHANGE_MS = 400;
/** Time after the time limit of a route in which its streams may still be resumed, in milliseconds. */
const RESUMPTION_GRACE_MS = 10_000;
const NOTHING_EXCLUDED: ReadonlySet<string> = new Set();

/** A call on a streaming route. */
export interface StreamCall {
  description: CallDescription;
  route: CompiledRoute;
  service: string;
  tenant: string | undefined;
  /** Deadline of the final response (monotonic, milliseconds). */
  deadlineMs: number;
}

/**
 * Asks for the versions of the services' backends that are registered at the time of the call, or were within a time in
 * milliseconds. Rejects if that cannot be known.
 */
export type FindServiceVersions = (
  services: readonly string[],
  withinMs: number,
) => Promise<ServiceVersions>;

export interface ResumableStreamsOptions {
  backends: BackendView;
  placement: Placement;
  ledger: Pick<Ledger, 'recordStreamLater' | 'changeStream'>;
  findServiceVersions: FindServiceVersions;
}

export class ResumableStreams {
  constructor(private readonly options: ResumableStreamsOptions) {}

  /**
   * What the reservation of a call does about its stream; undefined if the ledger need not know the stream.
   * @throws RefusedError if the caller resumes a stream that cannot be known
   */
  reservedStream(call: StreamCall): ReservedStream | undefined {
    const { description, route, tenant } = call;
    const { resumedAttempt, lastEventId } = description;
    if (!route.route.isResumable) {
      // A kept turn would lack the events before that one, and may not run a second time for them.
      if (route.route.retainsTurns && lastEventId !== undefined)
        throw new RefusedError('unknown-stream');
      return undefined;
    }
    if (resumedAttempt !== undefined) {
      if (resumedAttempt.length > MAX_ATTEMPT_ID_LENGTH) throw new RefusedError('unknown-stream');
      return { kind: 'resume', attempt: scopedId(tenant, resumedAttempt) };
    }
    const versions = lastEventId === undefined ? this.preferredVersions(call) : [];
    return versions.length === 0 ? undefined : { kind: 'begin', versions, keepMs: leftMs(call) };
  }

  /**
   * @param stream as returned by `reservedStream`
   * @throws RefusedError if it is unknown at which version the stream may run
   */
  async streamVersion(
    call: StreamCall,
    stream: ReservedStream | undefined,
    reservation: Reservation | undefined,
  ): Promise<StreamVersion> {
    const { description, route } = call;
    if (!route.route.isResumable) return new StreamVersion();
    const recorded = reservation?.streamVersion;
    if (stream?.kind === 'resume') {
      if (recorded === undefined) throw new RefusedError('unknown-stream');
      return new StreamVersion({ key: recorded, isResumed: true, isRecorded: true });
    }
    if (description.lastEventId !== undefined)
      return new StreamVersion({ key: await this.soleVersion(call), isResumed: true });
    return this.versionOfNewStream(call, stream, reservation);
  }

  private versionOfNewStream(
    call: StreamCall,
    stream: ReservedStream | undefined,
    reservation: Reservation | undefined,
  ): StreamVersion {
    const { ledger } = this.options;
    const { description, tenant } = call;
    const attempt = scopedId(tenant, description.id!);
    const program = ledgerProgramOf(description, tenant, stream);
    const recordOf = (version: VersionKey): StreamRecord => {
      return { attempt, version, keepMs: leftMs(call) };
    };
    const recorded = reservation?.streamVersion;
    return new StreamVersion({
      key: recorded ?? (reservation && expectedVersion(stream, reservation)),
      isRecorded: recorded !== undefined,
      recordLater: (version) => ledger.recordStreamLater(program, recordOf(version)),
      recordChange: (version) => {
        const record = recordOf(version);
        return ledger.changeStream(program, record, Math.min(record.keepMs, MAX_CHANGE_MS));
      },
    });
  }

  /**
   * The versions at which a new stream may begin, best first. With several of them, the first is the one of the backend
   * that placement selects without knowing the backends of earlier turns.
   */
  private preferredVersions({ description, service }: StreamCall): VersionKey[] {
    const { backends, placement } = this.options;
    const versions = backends.versions(service);
    if (versions.length <= 1) return versions;
    const request = { call: description, excluded: NOTHING_EXCLUDED };
    const selected = placement.choose(backends.serving(service), request);
    const ordered = selected ? [versionKeyOf(selected.backend), ...versions] : versions;
    return [...new Set(ordered)].slice(0, MAX_VERSIONS);
  }

  /**
   * The only version at which the stream of a caller that names no attempt may have begun. This gateway's view does not tell:
   * it may lack a version that others know, and one whose backends have left. Any service of the route may have begun it.
   * @throws RefusedError unless there is exactly one
   */
  private async soleVersion({ route: { route } }: StreamCall): Promise<VersionKey> {
    const services = route.parts.map(({ service }) => service);
    const registered = this.options.backends.registeredVersions(services);
    if (registered.length > 1) throw unknownVersion(registered);
    const withinMs = route.timeoutMs + RESUMPTION_GRACE_MS;
    const { versions, isComplete } = await this.findServiceVersions(services, withinMs);
    const keys = versions.map(versionKeyOf);
    if (keys.length !== 1 || !isComplete) throw unknownVersion(keys);
    return keys[0]!;
  }

  private async findServiceVersions(
    services: readonly string[],
    withinMs: number,
  ): Promise<ServiceVersions> {
    try {
      return await this.options.findServiceVersions(services, withinMs);
    } catch (error) {
      const details = { reason: describeError(error) };
      throw new RefusedError('unknown-stream', undefined, details);
    }
  }
}

/** @param known versions at which the stream may have begun; there may be others */
function unknownVersion(known: readonly VersionKey[]): RefusedError {
  return new RefusedError('unknown-stream', undefined, {
    possibleVersions: known.slice(0, MAX_VERSIONS).join(','),
  });
}

/**
 * The version of a stream that the ledger has not confirmed, although it may have recorded one.
 * @returns undefined if the ledger was not asked
 * @throws RefusedError if the recorded version cannot be known
 */
function expectedVersion(
  stream: ReservedStream | undefined,
  { allowanceTaken }: Reservation,
): VersionKey | undefined {
  if (stream?.kind !== 'begin') return undefined;
  if (stream.versions.length === 1) return stream.versions[0];
  if (allowanceTaken !== undefined) return undefined;
  throw new RefusedError('ledger-unavailable');
}

/** Time until the caller's deadline, in which it may resume the stream. */
function leftMs({ deadlineMs }: StreamCall): number {
  return Math.max(0, deadlineMs - monotonicMs());
}
