/**
 * Constants of the emulated engine. None was calibrated against real hardware; each is assumed, of
 * the order that published work on continuous batching reports for models of some tens of billions
 * of parameters on one server.
 */
export interface EngineOptions {
  /** Time of one step however small the batch, in model milliseconds. Assumed. @default 18 */
  baseStepMs: number;
  /** Additional time for each running sequence. Assumed. @default 0.3 */
  stepMsPerSequence: number;
  /** Additional time for each prompt token computed in the step. Assumed. @default 0.06 */
  stepMsPerPrefillToken: number;
  /** Prompt tokens computed in one step at most (chunked prefill). Assumed. @default 2048 */
  prefillTokensPerStep: number;
  /** Sequences that run together at most. Assumed. @default 32 */
  maxBatch: number;
  /** Memory for cached prompts and running sequences, in tokens. Assumed. @default 262144 */
  cacheTokens: number;
  /** Time to import or export one token's KV cache. Assumed. @default 0.008 */
  transferMsPerToken: number;
  /** Requests waiting at most; more are refused. @default 512 */
  maxWaiting: number;
  /** Model milliseconds for which a finished stream can be read again. @default 120000 */
  streamRetentionMs: number;
}

export const DEFAULT_ENGINE_OPTIONS: EngineOptions = {
  baseStepMs: 18,
  stepMsPerSequence: 0.3,
  stepMsPerPrefillToken: 0.06,
  prefillTokensPerStep: 2_048,
  maxBatch: 32,
  cacheTokens: 262_144,
  transferMsPerToken: 0.008,
  maxWaiting: 512,
  streamRetentionMs: 120_000,
};

/** Tokens of one cache block (assumed; engines commonly use 16 to 64). */
export const BLOCK_TOKENS = 64;
