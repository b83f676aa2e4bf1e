/**
 * Decides whether this gateway is cut off from the control processes. Load: a zone is partitioned from the others for
 * 5.5 s while its clients still reach its gateways; the platform probes readiness once a second and needs two misses.
 * A single leader that is replaced, a restart of all control processes and a stall of this gateway must not count.
 */

/** Contact with the leader of one group. */
export interface LeaderContact {
  /** How long an answer has been overdue, in milliseconds; 0 if no request is unanswered. */
  silenceMs: number;
  /** Time since the latest answer, in milliseconds. */
  answeredAgeMs: number;
}

/** Silence of both leaders from which a gateway is cut off, in milliseconds; elections take 300 to 600 ms. */
export const CUT_OFF_SILENCE_MS = 700;
/**
 * Time between two updates from which this process counts as stalled, in milliseconds. Answers that arrived during
 * the stall may still be unread.
 */
export const STALL_MS = 400;
/**
 * Time for which one leader must have answered until the silence of the other one is attributed to its group rather
 * than to this gateway's links, in milliseconds. A restarted group elects a leader well within this time.
 */
export const SINGLE_LEADER_RECOVERY_MS = 2_000;

export class CutOffDetector {
  private updatedAt: number | undefined;
  /** Silence counts from this time on (monotonic, milliseconds). */
  private observingSince = 0;
  private cutOffAt: number | undefined;
  /** Since when one leader has answered again, if the other one has not. */
  private reachedOneAt: number | undefined;

  get isCutOff(): boolean {
    return this.cutOffAt !== undefined;
  }

  /** Must be called at intervals well below `STALL_MS`. */
  update(nowMs: number, directory: LeaderContact, ledger: LeaderContact): void {
    if (this.updatedAt === undefined || nowMs - this.updatedAt > STALL_MS) {
      this.observingSince = nowMs;
    }
    this.updatedAt = nowMs;
    if (this.cutOffAt === undefined) this.detect(nowMs, directory, ledger);
    else this.checkRecovery(nowMs, this.cutOffAt, [directory, ledger]);
  }

  private detect(nowMs: number, directory: LeaderContact, ledger: LeaderContact): void {
    const observedMs = nowMs - this.observingSince;
    const silenceMs = Math.min(directory.silenceMs, ledger.silenceMs, observedMs);
    if (silenceMs < CUT_OFF_SILENCE_MS) return;
    this.cutOffAt = nowMs;
    this.reachedOneAt = undefined;
  }

  private checkRecovery(nowMs: number, cutOffAt: number, leaders: readonly LeaderContact[]): void {
    const reached = leaders.filter(
      ({ answeredAgeMs, silenceMs }) =>
        nowMs - answeredAgeMs > cutOffAt && silenceMs < CUT_OFF_SILENCE_MS,
    );
    if (reached.length === 0) this.reachedOneAt = undefined;
    else this.reachedOneAt ??= nowMs;
    const isOneLasting = nowMs - (this.reachedOneAt ?? nowMs) >= SINGLE_LEADER_RECOVERY_MS;
    if (reached.length === leaders.length || isOneLasting) this.cutOffAt = undefined;
  }
}
