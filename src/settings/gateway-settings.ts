/** Settings of `ledgegauge gateway`. */
import { z } from 'zod';
import {
  address,
  durationWithDefault,
  logSettingsSchema,
  networkSettingsSchema,
  nodeSettingsSchema,
  port,
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
      /** Longest request body. */
      maxBody: size().prefault('8MiB'),
      journalTimeout: durationWithDefault('3s'),
      /** Longest time to the first token of a dispatched model call. */
      firstTokenTimeout: durationWithDefault('30s'),
      /** Longest silence within a stream. */
      idleTimeout: durationWithDefault('3s'),
      serviceTimeout: durationWithDefault('3s'),
      /** Longest time of the first attempts of a call that may be repeated. */
      serviceTryTimeout: durationWithDefault('500ms'),
      /** How long another gateway's call may be out of sight before it is taken over. */
      takeoverGrace: durationWithDefault('600ms'),
      /** Bytes of program histories kept in memory. */
      historyCache: size().prefault('16MiB'),
    })
    .prefault({}),
  routing: z
    .strictObject({
      policy: z.enum(routingPolicyNames).default('predicted-finish'),
      /**
       * What a prompt token that has to be computed again weighs against one of queueing. Above 1,
       * because it also drives out what others have cached.
       */
      prefixWeight: z.number().positive().default(4),
      /** An engine is asked for its load when the last report is older. */
      maxLoadAge: durationWithDefault('250ms'),
      /** Questions for load a second, to all engines together. */
      maxLoadPolls: z.number().positive().default(50),
      /** Engines of one model that the gateway considers at most, near ones first. */
      engineSubset: z.number().int().min(1).default(48),
    })
    .prefault({}),
  queue: z
    .strictObject({
      policy: z.enum(queuePolicyNames).default('attained-service'),
      /** Calls that may wait here for a back end. */
      maxWaiting: z.number().int().min(0).default(256),
      maxWait: durationWithDefault('15s'),
      /** Calls that this gateway may have at one engine. */
      engineConcurrency: z.number().int().min(1).default(24),
      serviceConcurrency: z.number().int().min(1).default(64),
    })
    .prefault({}),
  retention: z
    .strictObject({
      policy: z.enum(holdPolicyNames).default('expected-saving'),
      maxHold: durationWithDefault('20s'),
      /** What a second of program latency weighs against the same of engine memory. */
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
  network: networkSettingsSchema.prefault({}),
  log: logSettingsSchema.prefault({}),
});

export type GatewaySettings = z.infer<typeof gatewaySettingsSchema>;
