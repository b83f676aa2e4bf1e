/** Settings of `ledgegauge control`. */
import { z } from 'zod';
import {
  address,
  durationWithDefault,
  logSettingsSchema,
  memorySettingsSchema,
  name,
  networkSettingsSchema,
  nodeSettingsSchema,
  port,
  shutdownSettingsSchema,
} from './common-settings.js';
import { size } from './units.js';

export const controlSettingsSchema = z.strictObject({
  node: nodeSettingsSchema,
  listen: z.strictObject({
    host: z.string().default('127.0.0.1'),
    internalPort: port,
    operatorPort: port,
    statusPort: port.default(0),
  }),
  /** Folder for this member's durable state; created if missing. */
  dataFolder: z.string().min(1),
  cluster: z.strictObject({
    /** Shared by all processes of the system, to authenticate peers. */
    secret: z.string().min(16, 'must have at least 16 characters'),
    members: z
      .array(
        z.strictObject({
          name,
          zone: name,
          /** Region of the zone; groups are spread across regions first. @default one for all */
          region: name.default('region'),
          address,
        }),
      )
      .min(1),
    /** Number of groups that programs are partitioned into; fixed when the cluster is created. */
    journalGroups: z.number().int().min(1).max(4096).default(4),
    /** Number of members of each group. */
    replicas: z.number().int().min(1).max(7).default(5),
  }),
  operators: z.array(z.strictObject({ name, keyHash: z.string().regex(/^[0-9a-f]{64}$/) })).min(1),
  platform: z
    .strictObject({
      /** Address of the platform's list of live and leaving machines. */
      machineList: address.optional(),
    })
    .prefault({}),
  lease: z.strictObject({ duration: durationWithDefault('2s') }).prefault({}),
  consensus: z
    .strictObject({
      heartbeatInterval: durationWithDefault('75ms'),
      electionTimeout: durationWithDefault('450ms'),
      snapshotEveryEntries: z.number().int().min(10).default(4_000),
      trailingEntries: z.number().int().min(0).default(1_000),
    })
    .prefault({}),
  storage: z
    .strictObject({ quota: size().optional(), segment: size().prefault('32MiB') })
    .prefault({}),
  memory: memorySettingsSchema.prefault({}),
  shutdown: shutdownSettingsSchema.prefault({}),
  network: networkSettingsSchema.prefault({}),
  log: logSettingsSchema.prefault({}),
});

export type ControlSettings = z.infer<typeof controlSettingsSchema>;
