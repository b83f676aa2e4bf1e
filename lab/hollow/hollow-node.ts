/**
 * A gateway without callers: the real links to control, lease, configuration, back end table and
 * load reports, many in one process. Its links to control can be cut in silence.
 */
import { BackendTable, LoadPoller, type LoadReport } from '../../src/backends/index.js';
import { hash32 } from '../../src/common/index.js';
import { GroupClient, type PeerCaller, PeerDirectory } from '../../src/consensus/index.js';
import { ConfigurationFetcher, LeaseHolder } from '../../src/membership/index.js';
import type { Logger } from '../../src/observability/index.js';
import { MethodRouter } from '../../src/wire/index.js';
import { startingAt } from '../fleet/starting-at.js';
import type { HollowNodeSettings } from './hollow-messages.js';
import type { SharedDocuments } from './shared-documents.js';
import { SwitchedPeers } from './switched-peers.js';

export interface HollowNodeOptions extends HollowNodeSettings {
  name: string;
  zone: string;
  /** Asks a hollow runner for its load. */
  fetchLoad: (engine: string) => LoadReport;
  logger: Logger;
  /** Documents shared with other nodes; undefined: own copies. */
  documents: SharedDocuments | undefined;
}

const CONCURRENCY = 24;
const INCARNATION = 'hollow';

export class HollowNode {
  readonly lease: LeaseHolder;
  /** Wall-clock time at which the current revision came into force here, in milliseconds. */
  revisionSinceMs = 0;
  private readonly peers: PeerDirectory;
  private readonly switched: SwitchedPeers;
  private readonly table: BackendTable;
  private readonly poller: LoadPoller;

  constructor(readonly options: HollowNodeOptions) {
    const { name, zone, secret, controlAddresses, renewIntervalMs, logger } = options;
    const router = new MethodRouter();
    const resolveAddress = (address: string): string => address;
    this.peers = new PeerDirectory({ ownName: name, secret, router, resolveAddress });
    this.switched = new SwitchedPeers(this.peers satisfies PeerCaller);
    const groups = new GroupClient({ peers: this.switched, addresses: controlAddresses });
    this.table = new BackendTable({
      engineConcurrency: CONCURRENCY,
      serviceConcurrency: CONCURRENCY,
      engineSubset: options.engineSubset,
      owner: { name, zone },
    });
    this.poller = new LoadPoller({
      table: this.table,
      maxAgeMs: options.maxLoadAgeMs,
      maxPollsPerSecond: options.maxLoadPolls,
      fetchLoad: (backend) => Promise.resolve(options.fetchLoad(backend.id)),
    });
    const { documents } = options;
    const fetcher = new ConfigurationFetcher({
      peers: this.switched,
      // Nodes begin with different members, as real ones begin with the nearest.
      addresses: startingAt(controlAddresses, hash32(name)),
      decode: documents && ((bytes, revision) => documents.decode(bytes, revision)),
    });
    this.lease = new LeaseHolder({
      groups,
      fetcher,
      gateway: name,
      incarnation: INCARNATION,
      address: `${name}:0`,
      zone,
      renewIntervalMs,
      logger,
      onConfiguration: (document) => {
        this.revisionSinceMs = Date.now();
        this.table.update(document);
      },
      onLeaving: (machines) => this.table.markLeaving(machines),
    });
  }

  start(): void {
    this.lease.start();
    this.poller.start();
  }

  stop(): void {
    this.lease.stop();
    this.poller.stop();
    this.peers.close();
  }

  cut(): void {
    this.switched.isCut = true;
  }

  heal(): void {
    this.switched.isCut = false;
  }

  /** Bytes to and from control so far. */
  get controlBytes(): number {
    const { sent, received } = this.peers.totalTraffic;
    return sent + received;
  }
}
