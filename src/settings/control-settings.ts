/** Settings of `ledgegauge control`. */
import { z } from 'zod';
import {
  address,
  durationWithDefault,
  logSettingsSchema,
  name,
  networkSettingsSchema,
  nodeSettingsSchema,
  port,
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
  /** Folder of this member's durable state; created when missing. */
  dataFolder: z.string().min(1),
  cluster: z.strictObject({
    /** Shared by all processes of the system; proves that a peer belongs to it. */
    secret: z.string().min(16, 'must have at least 16 characters'),
    members: z
      .array(
        z.strictObject({
          name,
          zone: name,
          /** Region of the zone; a group is spread over regions first. @default one for all */
          region: name.default('region'),
          address,
        }),
      )
      .min(1),
    /** How many groups share the programs; fixed once the cluster is founded. */
    journalGroups: z.number().int().min(1).max(4096).default(4),
    /** Members that hold each group. */
    replicas: z.number().int().min(1).max(7).default(5),
  }),
  operators: z.array(z.strictObject({ name, keyHash: z.string().regex(/^[0-9a-f]{64}$/) })).min(1),
  platform: z
    .strictObject({
      /** Where the platform lists live and leaving machines. */
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
  network: networkSettingsSchema.prefault({}),
  log: logSettingsSchema.prefault({}),
});

export type ControlSettings = z.infer<typeof controlSettingsSchema>;
