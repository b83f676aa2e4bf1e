/** Histories of programs as this gateway last read them; the journal has the truth. */
import { LRUCache } from 'lru-cache';
import { type ChatMessage, LedgegaugeError, countMessageTokens } from '../common/index.js';
import type { HistoryTurn, JournalClient } from '../journal/index.js';

/** The journal's history does not fit what it said of it; nothing was sent. */
export class HistoryMismatchError extends LedgegaugeError {}

interface CachedHistory {
  /** All calls up to this sequence number are in it. */
  throughSequence: number;
  messages: ChatMessage[];
  tokens: number;
  characters: number;
}

/** Assumed memory of a message beside its text, in bytes. */
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
   * The messages of a program's history before call `sequence`.
   * @param expectedTokens how many tokens the journal counts in it
   * @throws HistoryMismatchError when even the journal's own copy does not have as many
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

  /** Adds a settled call to a history that is current up to the call before. */
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
