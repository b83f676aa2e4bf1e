/** The guard of one call: its request's key, and the permit of its send in progress. */
import type { GatewayCrashGuard, SendAdmission } from './gateway-crash-guard.js';
import { type RequestIdentity, type RequestKey, requestKeyOf } from './request-key.js';

export interface AnsweringBackend {
  id: string;
  /** Whether each start of the back end has an id of its own, so that the answer is not that of a later start. */
  hasOwnId: boolean;
}

export class RequestGuard {
  private knownKey: RequestKey | undefined;
  private permit: number | undefined;
  /** Whether a send is in progress that was admitted by `requestSend`. */
  private isSending = false;
  /** Whether a response was lost in this call. */
  private hasLost = false;

  constructor(
    private readonly guard: GatewayCrashGuard,
    private readonly identity: RequestIdentity,
    private readonly tenant: string | undefined,
  ) {}

  /** Digest of the request, for logs as well. */
  get key(): RequestKey {
    this.knownKey ??= requestKeyOf(this.identity, this.tenant);
    return this.knownKey;
  }

  /** Whether a back end may have ended under the request. */
  get isSuspect(): boolean {
    return this.guard.hasSuspects && this.guard.isSuspect(this.key);
  }

  /** Whether so many back ends have ended under the request that it is not sent again. */
  get isBlocked(): boolean {
    return this.guard.hasSuspects && this.guard.isBlocked(this.key);
  }

  /**
   * Must be called before a suspect request is sent.
   * @param candidates ids of the back ends that it may be sent to, the preferred one first; at least one
   * @param leftMs time until the caller's deadline, in milliseconds
   */
  async requestSend(candidates: string[], leftMs: number): Promise<SendAdmission> {
    const admission = await this.guard.requestSend({ key: this.key, candidates, leftMs });
    this.isSending = admission.kind === 'granted';
    this.permit = admission.kind === 'granted' ? admission.permit : undefined;
    return admission;
  }

  /** Must be called when a response was lost. Resolves once the loss is counted, or after a time limit. */
  async noteLost(backend: string, sentMsAgo: number): Promise<void> {
    const { key } = this;
    const permit = this.endSend();
    const mayBeShared = this.identity.program === undefined;
    this.hasLost = true;
    await this.guard.reportLoss({ key, backend, sentMsAgo, mayBeShared, permit });
  }

  /**
   * Must be called before the caller is told of a failure. Resolves once the gateways know of the losses of this call that
   * they must know of, or after a time limit.
   */
  async settle(): Promise<void> {
    if (this.hasLost) await this.guard.confirmLosses(this.key);
  }

  /**
   * Must be called when a send brought a complete response.
   * @param sentAt monotonic, in milliseconds
   */
  noteAnswered(backend: AnsweringBackend, sentAt: number): void {
    const permit = this.endSend();
    if (!this.guard.hasSuspects) return;
    if (backend.hasOwnId) this.guard.noteBackendAnswered(backend.id, sentAt);
    if (this.isSuspect) this.guard.reportOutcome(this.key, 'completed', permit);
  }

  /** Must be called when a send was stopped, or did not reach a back end. */
  noteStopped(): void {
    if (!this.isSending) return;
    this.guard.reportOutcome(this.key, 'stopped', this.endSend());
  }

  /** @returns the permit of the send, if it had one */
  private endSend(): number | undefined {
    const { permit } = this;
    this.permit = undefined;
    this.isSending = false;
    return permit;
  }
}
