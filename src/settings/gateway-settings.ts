/** Settings of `ledgegauge gateway`. */
import { z } from 'zod';
import {
  address,
  durationWithDefault,
  logSettingsSchema,
  memorySettingsSchema,
  networkSettingsSchema,
  nodeSettingsSchema,
  port,
  shutdownSettingsSchema,
} from './common-settings.js';
import { size } from './units.js';

export const routingPolicyNames = [
  'predicted-finish',
  'sticky',
  'least-outstanding',
  'round-robin',
] as const;
export const queuePolicyNames = ['attained-service', 'first-come'] as const;
export const holdPolicyNames = ['expected-saving', 'always', 'never'] as const;

export type RoutingPolicyName = (typeof routingPolicyNames)[number];
export type QueuePolicyName = (typeof queuePolicyNames)[number];
export type HoldPolicyName = (typeof holdPolicyNames)[number];

export const gatewaySettingsSchema = z.strictObject({
  node: nodeSettingsSchema,
  listen: z.strictObject({
    host: z.string().default('127.0.0.1'),
    callerPort: port,
    statusPort: port.default(0),
  }),
  cluster: z.strictObject({
    secret: z.string().min(16, 'must have at least 16 characters'),
    controlAddresses: z.array(address).min(1),
    journalGroups: z.number().int().min(1).max(4096).default(4),
  }),
  lease: z.strictObject({ renewInterval: durationWithDefault('400ms') }).prefault({}),
  calls: z
    .strictObject({
      /** Maximum size of a request body. */
      maxBody: size().prefault('8MiB'),
      journalTimeout: durationWithDefault('3s'),
      /** Maximum time to the first token of a dispatched model call. */
      firstTokenTimeout: durationWithDefault('30s'),
      /** Maximum time without data within a stream. */
      idleTimeout: durationWithDefault('3s'),
      serviceTimeout: durationWithDefault('3s'),
      /** Timeout of the first attempts of a repeatable call. */
      serviceTryTimeout: durationWithDefault('500ms'),
      /** How long a call of another gateway may make no progress before it is taken over. */
      takeoverGrace: durationWithDefault('600ms'),
      /** Memory for cached program histories. */
      historyCache: size().prefault('16MiB'),
    })
    .prefault({}),
  routing: z
    .strictObject({
      policy: z.enum(routingPolicyNames).default('predicted-finish'),
      /**
       * Cost of a prompt token that must be recomputed, relative to a queued token. Above 1, because
       * recomputing also evicts the cached prefixes of others.
       */
      prefixWeight: z.number().positive().default(4),
      /** An engine is polled for its load when its last report is older. */
      maxLoadAge: durationWithDefault('250ms'),
      /** Maximum load polls per second, over all engines. */
      maxLoadPolls: z.number().positive().default(50),
      /** Maximum number of engines per model that the gateway uses, nearest first. */
      engineSubset: z.number().int().min(1).default(48),
    })
    .prefault({}),
  queue: z
    .strictObject({
      policy: z.enum(queuePolicyNames).default('attained-service'),
      /** Maximum number of calls waiting for a backend. */
      maxWaiting: z.number().int().min(0).default(256),
      maxWait: durationWithDefault('15s'),
      /** Maximum number of concurrent calls of this gateway to one engine. */
      engineConcurrency: z.number().int().min(1).default(24),
      serviceConcurrency: z.number().int().min(1).default(64),
    })
    .prefault({}),
  retention: z
    .strictObject({
      policy: z.enum(holdPolicyNames).default('expected-saving'),
      maxHold: durationWithDefault('20s'),
      /** Weight of a second of program latency relative to a second of engine memory. */
      latencyWeight: z.number().min(0).max(1).default(0.5),
    })
    .prefault({}),
  programs: z
    .strictObject({
      defaultBudget: z.number().int().positive().default(1_000_000),
      defaultDeadline: durationWithDefault('30min'),
      maxCalls: z.number().int().positive().default(200),
      maxDepth: z.number().int().min(0).default(4),
      maxRepeatedCalls: z.number().int().min(1).default(8),
      idleTimeout: durationWithDefault('10min'),
    })
    .prefault({}),
  memory: memorySettingsSchema.prefault({}),
  shutdown: shutdownSettingsSchema.prefault({}),
  network: networkSettingsSchema.prefault({}),
  log: logSettingsSchema.prefault({}),
});

export type GatewaySettings = z.infer<typeof gatewaySettingsSchema>;
