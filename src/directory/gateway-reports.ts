/**
 * What gateways report in watch requests, and what the directory's leader merges from it. All state is soft: a new
 * leader starts without any and rebuilds it from the next reports.
 */
import { AdmissionLeader } from '../admission/index.js';
import { BackendStatisticsStore } from '../backend-statistics/index.js';
import { ZoneHealthBoard } from '../gateway-health/index.js';
import type { Logger } from '../observability/index.js';
import { WaitingReportStore } from '../waiting/index.js';
import type { BackendRegistration } from './backend-registration.js';
import { LoadReportStore } from './load-board.js';
import type { DirectoryView, WatchRequest } from './messages.js';

export interface GatewayReportsOptions {
  /** Registered backends by id. */
  backends: () => ReadonlyMap<string, BackendRegistration>;
  /** Whether a backend has missed heartbeats. */
  isSilent: (id: string) => boolean;
  /** Called when a backend begins or ceases to fail. */
  onFailingChange: () => void;
  logger: Logger;
}

export class GatewayReports {
  private readonly loads = new LoadReportStore();
  private readonly zoneHealth = new ZoneHealthBoard();
  private readonly waiting = new WaitingReportStore();
  private readonly statistics: BackendStatisticsStore;
  private readonly admission: AdmissionLeader;

  constructor({ backends, isSilent, onFailingChange, logger }: GatewayReportsOptions) {
    this.statistics = new BackendStatisticsStore({ backends, logger, onFailingChange });
    this.admission = new AdmissionLeader({
      backends: () => backends().values(),
      isSilent,
      slowdownOf: (id) => this.statistics.slowdownOf(id),
      logger,
    });
  }

  /** Number of changes of the failing backends. */
  get failingVersion(): number {
    return this.statistics.failingVersion;
  }

  record({ node, loads, health, waiting, demand, statistics }: WatchRequest): void {
    this.loads.report(node.name, loads);
    this.zoneHealth.report(node.name, node.zone, health);
    this.waiting.report(node.name, waiting);
    this.admission.report(node.name, demand);
    if (statistics) this.statistics.report(node.name, node.zone, statistics);
  }

  /** Adds to the answer to a gateway what is merged from the reports of all gateways. */
  addTo(view: DirectoryView, { node, health }: WatchRequest): void {
    view.loads = this.loads.totalsFor(node.name);
    const statistics = this.statistics.viewFor();
    if (statistics) view.statistics = statistics;
    const waiting = this.waiting.viewFor(node.name);
    if (waiting) view.waiting = waiting;
    if (health) view.zoneHealth = this.zoneHealth.viewFor(node.name);
    const admission = this.admission.viewFor(node.name);
    if (admission) view.admission = admission;
  }

  clear(): void {
    this.loads.clear();
    this.statistics.clear();
    this.zoneHealth.clear();
    this.waiting.clear();
    this.admission.clear();
  }
}
