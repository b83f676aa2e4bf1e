/**
 * Options of the emulated engine. The defaults are not calibrated against real hardware; their order
 * of magnitude follows published work on continuous batching for models with tens of billions of
 * parameters on one server.
 */
export interface EngineOptions {
  /** Base time of one step, in model milliseconds. @default 18 */
  baseStepMs: number;
  /** Additional step time per running sequence, in model milliseconds. @default 0.3 */
  stepMsPerSequence: number;
  /** Additional step time per prompt token computed, in model milliseconds. @default 0.06 */
  stepMsPerPrefillToken: number;
  /** Maximum number of prompt tokens computed in one step (chunked prefill). @default 2048 */
  prefillTokensPerStep: number;
  /** Maximum number of sequences in a batch. @default 32 */
  maxBatch: number;
  /** Memory for cached prompts and running sequences, in tokens. @default 262144 */
  cacheTokens: number;
  /** Time to import or export the KV cache of one token, in model milliseconds. @default 0.008 */
  transferMsPerToken: number;
  /** Maximum length of the request queue; further requests are rejected. @default 512 */
  maxWaiting: number;
  /** How long a finished stream can be read again, in model milliseconds. @default 120000 */
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

/** Tokens per cache block; engines commonly use 16 to 64. */
export const BLOCK_TOKENS = 64;
