/** Sessions of one service at one gateway that have a turn in flight or had one shortly before. */

/** Time after a turn during which its session counts as active; a tool call takes less. */
const ACTIVE_AFTER_TURN_MS = 400;

/** Sessions above which those that are not active are forgotten at once, also while no report is asked for. */
const MAX_SESSIONS = 4_096;

interface Session {
  priority: number;
  inFlight: number;
  /** When the last turn ended (monotonic, milliseconds). */
  endedAt: number;
}

export class ActiveSessions {
  /** In the order of their begin. */
  private readonly sessions = new Map<string, Session>();

  begin(key: string, priority: number): void {
    const session = this.sessions.get(key);
    if (session) {
      session.inFlight += 1;
      session.priority = priority;
    } else {
      this.sessions.set(key, { priority, inFlight: 1, endedAt: 0 });
      if (this.sessions.size > MAX_SESSIONS) this.forgetEnded();
    }
  }

  end(key: string, now: number): void {
    const session = this.sessions.get(key);
    if (!session) return;
    session.inFlight -= 1;
    session.endedAt = now;
  }

  /** Number of sessions that are held. */
  get size(): number {
    return this.sessions.size;
  }

  /** Numbers of active sessions by priority; forgets the others. */
  countByPriority(now: number): Map<number, number> {
    const counts = new Map<number, number>();
    for (const [key, { priority, inFlight, endedAt }] of this.sessions) {
      if (inFlight === 0 && now - endedAt > ACTIVE_AFTER_TURN_MS) this.sessions.delete(key);
      else counts.set(priority, (counts.get(priority) ?? 0) + 1);
    }
    return counts;
  }

  /** Forgets all but those with a turn in flight, which are bounded by the calls. */
  private forgetEnded(): void {
    for (const [key, { inFlight }] of this.sessions) if (inFlight === 0) this.sessions.delete(key);
  }
}
