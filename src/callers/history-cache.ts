/** Caches program histories; the journal holds the authoritative copy. */
import { LRUCache } from 'lru-cache';
import { type ChatMessage, LedgegaugeError, countMessageTokens } from '../common/index.js';
import type { HistoryTurn, JournalClient } from '../journal/index.js';

/** The history read from the journal does not have the token count recorded there; nothing was sent. */
export class HistoryMismatchError extends LedgegaugeError {}

interface CachedHistory {
  /** Sequence number of the last call included. */
  throughSequence: number;
  messages: ChatMessage[];
  tokens: number;
  characters: number;
}

/** Estimated memory of a message in addition to its text. */
const MESSAGE_OVERHEAD_BYTES = 100;

export class HistoryCache {
  private readonly cache: LRUCache<string, CachedHistory>;

  constructor(
    private readonly journal: JournalClient,
    maxBytes: number,
  ) {
    this.cache = new LRUCache({
      maxSize: maxBytes,
      sizeCalculation: (history) =>
        history.characters + MESSAGE_OVERHEAD_BYTES * (history.messages.length + 1),
    });
  }

  /**
   * Returns the messages of a program's history before call `sequence`.
   * @param expectedTokens token count of the history according to the journal
   * @throws HistoryMismatchError when the history reread from the journal has another token count
   */
  async read(
    programId: string,
    tenant: string,
    sequence: number,
    expectedTokens: number,
  ): Promise<ChatMessage[]> {
    const cached = this.cache.get(programId);
    const isCurrent = cached?.throughSequence === sequence - 1 && cached.tokens === expectedTokens;
    if (isCurrent) return cached.messages;
    const isUsable = cached !== undefined && cached.throughSequence < sequence - 1;
    const extended = await this.extend(programId, tenant, sequence, isUsable ? cached : undefined);
    if (extended.tokens === expectedTokens) return extended.messages;
    const fresh = await this.extend(programId, tenant, sequence, undefined);
    if (fresh.tokens === expectedTokens) return fresh.messages;
    throw new HistoryMismatchError(`expected ${expectedTokens} tokens, read ${fresh.tokens}`, {
      step: 'history.read',
      peer: programId,
    });
  }

  /** Appends a settled call if the cached history ends with the call before it. */
  append(programId: string, turn: HistoryTurn): void {
    const cached = this.cache.get(programId) ?? emptyHistory();
    if (cached.throughSequence !== turn.sequence - 1) return;
    this.cache.set(programId, addTurns(cached, [turn], turn.sequence));
  }

  forget(programId: string): void {
    this.cache.delete(programId);
  }

  private async extend(
    programId: string,
    tenant: string,
    sequence: number,
    base: CachedHistory | undefined,
  ): Promise<CachedHistory> {
    const start = base ?? emptyHistory();
    if (sequence === 1) return start;
    const answer = await this.journal.readHistory(programId, tenant, start.throughSequence);
    const turns = answer.status === 'found' ? answer.turns : [];
    const earlier = turns.filter((turn) => turn.sequence < sequence);
    const history = addTurns(start, earlier, sequence - 1);
    this.cache.set(programId, history);
    return history;
  }
}

function emptyHistory(): CachedHistory {
  return { throughSequence: 0, messages: [], tokens: 0, characters: 0 };
}

function addTurns(
  base: CachedHistory,
  turns: readonly HistoryTurn[],
  throughSequence: number,
): CachedHistory {
  const added = turns.flatMap((turn) => [
    ...turn.messages,
    { role: 'assistant', content: turn.answer },
  ]);
  return {
    throughSequence,
    messages: [...base.messages, ...added],
    tokens: base.tokens + countMessageTokens(added),
    characters: base.characters + added.reduce((sum, { content }) => sum + content.length, 0),
  };
}
