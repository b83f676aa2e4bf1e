/** Settings of the fault-injecting proxy. */
import { z } from 'zod';
import { address, logSettingsSchema, nodeSettingsSchema, port } from '../../src/settings/index.js';

/** Faults of one direction of a link. */
export const directionFaultSchema = z.strictObject({
  /** Discards all bytes; the connection stays open. */
  drop: z.boolean().default(false),
  delayMs: z.number().min(0).default(0),
  jitterMs: z.number().min(0).default(0),
  /** Bandwidth limit in bytes per second; 0 for no limit. */
  bytesPerSecond: z.number().min(0).default(0),
});

export const linkFaultSchema = z.strictObject({
  /** Resets existing and new connections. */
  cut: z.boolean().default(false),
  /** Accepts new connections but never forwards their bytes. */
  halfOpen: z.boolean().default(false),
  /** Resets a connection after this many bytes towards the target; 0 for never. */
  resetAfterBytes: z.number().min(0).default(0),
  toTarget: directionFaultSchema.prefault({}),
  toClient: directionFaultSchema.prefault({}),
});

export type DirectionFault = z.infer<typeof directionFaultSchema>;
export type LinkFault = z.infer<typeof linkFaultSchema>;

export const linkSchema = z.strictObject({
  /** Name of the link, for example `zone-a>control-2`. */
  id: z.string().min(1),
  /** Listen host of the link. @default the proxy's host */
  host: z.string().optional(),
  port,
  target: address,
  /** One-way delay of the link without faults, in milliseconds. */
  baseDelayMs: z.number().min(0).default(0),
});

export type LinkSettings = z.infer<typeof linkSchema>;

export const faultProxySettingsSchema = z.strictObject({
  node: nodeSettingsSchema,
  listen: z.strictObject({ host: z.string().default('127.0.0.1'), controlPort: port }),
  links: z.array(linkSchema).default([]),
  log: logSettingsSchema.prefault({}),
});

export type FaultProxySettings = z.infer<typeof faultProxySettingsSchema>;
