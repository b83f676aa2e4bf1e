/** Settings that several kinds of process share. */
import { z } from 'zod';
import { duration } from './units.js';

export const port = z.number().int().min(0).max(65_535);
export const address = z
  .string()
  .regex(/^[^\s:]+:\d{1,5}$/, 'must be host:port, for example 10.0.0.5:7100');
export const name = z
  .string()
  .regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/, 'must be letters, digits, ".", "_" or "-"');

export const nodeSettingsSchema = z.strictObject({
  /** The process's name; unique among those of its kind, stable over restarts. */
  name,
  zone: name,
});

export const logSettingsSchema = z.strictObject({
  level: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
});

export const networkSettingsSchema = z.strictObject({
  /** Addresses to connect to in place of announced ones, for forwarded ports. */
  dialOverrides: z.record(address, address).default({}),
});

export const durationWithDefault = (text: string): z.ZodPrefault<ReturnType<typeof duration>> =>
  duration().prefault(text);

/** Turns an announced address into the one to connect to. */
export function createAddressResolver(
  network: z.infer<typeof networkSettingsSchema>,
): (address: string) => string {
  return (announced) => network.dialOverrides[announced] ?? announced;
}
