/**
 * Releases engine memory of programs that have ended although their release was already delivered, for example because
 * a delayed call followed it. Each engine is checked by the control member that ranks first for it, and less
 * often by the second.
 */
import { type Agent, request } from 'undici';
import { z } from 'zod';
import { sendRelease } from '../backends/control-requests.js';
import { groupBy, rankForKey, sleep } from '../common/index.js';
import type { GroupClient } from '../consensus/index.js';
import { readBoundedJson } from '../http/index.js';
import type { BackendIntent, IntentDocument } from '../intents/index.js';
import {
  type EndedProgramsResponse,
  type JournalQuery,
  isProgramId,
  journalGroupOf,
} from '../journal/index.js';

export interface HeldProgramReconcilerOptions {
  ownName: string;
  memberNames: string[];
  groupCount: number;
  groups: GroupClient;
  agent: Agent;
  document: () => IntentDocument;
  resolveAddress: (address: string) => string;
}

const INTERVAL_MS = 2_000;
/** Maximum number of concurrent requests to engines. */
const MAX_PARALLEL = 16;
/** Number of rounds of the first member per round of the second. */
const SECOND_RANK_ROUNDS = 2;
const TIMEOUT_MS = 1_500;
const LIST_BOUNDS = { maxBytes: 4 * 1024 * 1024, timeoutMs: TIMEOUT_MS };
const heldSchema = z.object({ held: z.array(z.string()) });

/** Engines that this member checks, by its rank for them. */
interface AssignedEngines {
  /** Backends of the configuration that the ranking was computed from. */
  backends: readonly BackendIntent[];
  first: BackendIntent[];
  second: BackendIntent[];
}

export class HeldProgramReconciler {
  private readonly stopping = new AbortController();
  /** Used as the fence, so that a release is never rejected because of an earlier one. */
  private round = 0;
  private assigned: AssignedEngines = { backends: [], first: [], second: [] };

  constructor(private readonly options: HeldProgramReconcilerOptions) {}

  start(): void {
    void this.run();
  }

  stop(): void {
    this.stopping.abort();
  }

  private async run(): Promise<void> {
    const { signal } = this.stopping;
    while (!signal.aborted) {
      await sleep(INTERVAL_MS, signal);
      this.round += 1;
      const { first, second } = this.assignedEngines();
      const isSecondDue = this.round % SECOND_RANK_ROUNDS === 0;
      const queue = isSecondDue ? [...first, ...second] : [...first];
      const workers = Array.from({ length: MAX_PARALLEL }, () => this.reconcileAll(queue));
      await Promise.all(workers);
    }
  }

  /** One of several workers that share a queue of engines. */
  private async reconcileAll(queue: BackendIntent[]): Promise<void> {
    const { signal } = this.stopping;
    for (let engine = queue.pop(); engine && !signal.aborted; engine = queue.pop()) {
      await this.reconcile(engine.address).catch(() => undefined);
    }
  }

  /** Recomputed only when the backends of the configuration have changed. */
  private assignedEngines(): AssignedEngines {
    const { backends } = this.options.document();
    if (this.assigned.backends === backends) return this.assigned;
    const { memberNames, ownName } = this.options;
    this.assigned = { backends, first: [], second: [] };
    for (const engine of backends.filter(({ kind }) => kind === 'engine')) {
      const [first, second] = rankForKey(engine.id, memberNames, (name) => name);
      if (first === ownName) this.assigned.first.push(engine);
      else if (second === ownName) this.assigned.second.push(engine);
    }
    return this.assigned;
  }

  private async reconcile(address: string): Promise<void> {
    const { agent, resolveAddress } = this.options;
    const target = resolveAddress(address);
    const response = await request(`http://${target}/v1/programs`, {
      dispatcher: agent,
      headersTimeout: TIMEOUT_MS,
      bodyTimeout: TIMEOUT_MS,
    });
    const { held } = heldSchema.parse(await readBoundedJson(response.body, LIST_BOUNDS));
    const ended = await this.findEnded(held.filter(isProgramId));
    if (ended.length > 0) await sendRelease(agent, target, ended, this.round);
  }

  private async findEnded(programIds: string[]): Promise<string[]> {
    const { groups, groupCount } = this.options;
    const byGroup = groupBy(programIds, (id) => journalGroupOf(id, groupCount));
    const responses = await Promise.all(
      [...byGroup].map(([group, ids]) => {
        const query: JournalQuery = { type: 'ended-programs', programIds: ids };
        const limits = { timeoutMs: TIMEOUT_MS };
        return groups.query<JournalQuery, EndedProgramsResponse>(group, query, limits);
      }),
    );
    return responses.flatMap((response) => response.programIds);
  }
}
