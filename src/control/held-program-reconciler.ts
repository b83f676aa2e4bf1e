/**
 * Finds engine memory that is held for programs that have ended although their release was
 * delivered, for example because a delayed call came after it. Every engine is looked after by the
 * control member that ranks highest for it, and more rarely by the second.
 */
import { type Agent, request } from 'undici';
import { z } from 'zod';
import { sendRelease } from '../backends/control-requests.js';
import { groupBy, rankForKey, sleep } from '../common/index.js';
import type { GroupClient } from '../consensus/index.js';
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
/** Engines asked at the same time. */
const MAX_PARALLEL = 16;
/** The second member looks once for so many times of the first. */
const SECOND_RANK_ROUNDS = 2;
const TIMEOUT_MS = 1_500;
const heldSchema = z.object({ held: z.array(z.string()) });

/** The engines that this member looks after, by its rank for them. */
interface OwnEngines {
  /** The back ends from which they were ranked. */
  backends: readonly BackendIntent[];
  first: BackendIntent[];
  second: BackendIntent[];
}

export class HeldProgramReconciler {
  private readonly stopping = new AbortController();
  /** Fences grow with time, so that a later release is never refused for an earlier one. */
  private round = 0;
  private own: OwnEngines = { backends: [], first: [], second: [] };

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
      const { first, second } = this.ownEngines();
      const isSecondDue = this.round % SECOND_RANK_ROUNDS === 0;
      const waiting = isSecondDue ? [...first, ...second] : [...first];
      const workers = Array.from({ length: MAX_PARALLEL }, () => this.reconcileAll(waiting));
      await Promise.all(workers);
    }
  }

  /** One of several tasks that take engines from the same list. */
  private async reconcileAll(waiting: BackendIntent[]): Promise<void> {
    const { signal } = this.stopping;
    for (let engine = waiting.pop(); engine && !signal.aborted; engine = waiting.pop()) {
      await this.reconcile(engine.address).catch(() => undefined);
    }
  }

  /** Ranked anew only when the configuration's back ends have changed. */
  private ownEngines(): OwnEngines {
    const { backends } = this.options.document();
    if (this.own.backends === backends) return this.own;
    const { memberNames, ownName } = this.options;
    this.own = { backends, first: [], second: [] };
    for (const engine of backends.filter(({ kind }) => kind === 'engine')) {
      const [first, second] = rankForKey(engine.id, memberNames, (name) => name);
      if (first === ownName) this.own.first.push(engine);
      else if (second === ownName) this.own.second.push(engine);
    }
    return this.own;
  }

  private async reconcile(address: string): Promise<void> {
    const { agent, resolveAddress } = this.options;
    const target = resolveAddress(address);
    const response = await request(`http://${target}/v1/programs`, {
      dispatcher: agent,
      headersTimeout: TIMEOUT_MS,
      bodyTimeout: TIMEOUT_MS,
    });
    const { held } = heldSchema.parse(await response.body.json());
    const ended = await this.findEnded(held.filter(isProgramId));
    if (ended.length > 0) await sendRelease(agent, target, ended, this.round);
  }

  private async findEnded(programIds: string[]): Promise<string[]> {
    const { groups, groupCount } = this.options;
    const byGroup = groupBy(programIds, (id) => journalGroupOf(id, groupCount));
    const answers = await Promise.all(
      [...byGroup].map(([group, ids]) => {
        const query: JournalQuery = { type: 'ended-programs', programIds: ids };
        const limits = { timeoutMs: TIMEOUT_MS };
        return groups.query<JournalQuery, EndedProgramsResponse>(group, query, limits);
      }),
    );
    return answers.flatMap((answer) => answer.programIds);
  }
}
