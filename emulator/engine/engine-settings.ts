/** Settings of the emulated engine process. */
import { z } from 'zod';
import {
  durationWithDefault,
  logSettingsSchema,
  nodeSettingsSchema,
  port,
} from '../../src/settings/index.js';
import { DEFAULT_ENGINE_OPTIONS } from '../model/engine-options.js';

const positive = z.number().positive();
const defaults = DEFAULT_ENGINE_OPTIONS;

export const engineSettingsSchema = z.strictObject({
  node: nodeSettingsSchema,
  listen: z.strictObject({ host: z.string().default('127.0.0.1'), port }),
  /** Ratio of wall-clock time to model time; 0.1 runs ten times as fast. */
  timeScale: positive.max(10).default(1),
  loadReportLag: durationWithDefault('100ms'),
  cacheEvents: z
    .strictObject({
      lag: durationWithDefault('200ms'),
      lossProbability: z.number().min(0).max(1).default(0.02),
      seed: z.number().int().default(1),
    })
    .prefault({}),
  model: z
    .strictObject({
      baseStepMs: positive.default(defaults.baseStepMs),
      stepMsPerSequence: positive.default(defaults.stepMsPerSequence),
      stepMsPerPrefillToken: positive.default(defaults.stepMsPerPrefillToken),
      prefillTokensPerStep: positive.int().default(defaults.prefillTokensPerStep),
      maxBatch: positive.int().default(defaults.maxBatch),
      cacheTokens: positive.int().default(defaults.cacheTokens),
      transferMsPerToken: positive.default(defaults.transferMsPerToken),
      maxWaiting: positive.int().default(defaults.maxWaiting),
      streamRetentionMs: positive.default(defaults.streamRetentionMs),
    })
    .prefault({}),
  /** File to which every arrival and execution is appended, for checks after a crash. */
  recordFile: z.string().optional(),
  /** Address of the weight store to load models from; if absent, models load instantly. */
  weightStore: z.string().optional(),
  log: logSettingsSchema.prefault({}),
});

export type EngineSettings = z.infer<typeof engineSettingsSchema>;
