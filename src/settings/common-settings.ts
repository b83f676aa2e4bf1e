/** Settings shared by several kinds of process. */
import { z } from 'zod';
import { duration, size } from './units.js';

export const port = z.number().int().min(0).max(65_535);
export const address = z
  .string()
  .regex(/^[^\s:]+:\d{1,5}$/, 'must be host:port, for example 10.0.0.5:7100');
export const name = z
  .string()
  .regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/, 'must be letters, digits, ".", "_" or "-"');

export const nodeSettingsSchema = z.strictObject({
  /** Unique among the processes of the same kind, and stable across restarts. */
  name,
  zone: name,
});

export const logSettingsSchema = z.strictObject({
  level: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
});

export const networkSettingsSchema = z.strictObject({
  /** Maps announced addresses to the addresses to connect to, for forwarded ports. */
  dialOverrides: z.record(address, address).default({}),
});

/** Shortest grace time in which calls are still served before the last responses are sent. */
const MIN_GRACE_MS = 3_000;

export const memorySettingsSchema = z.strictObject({
  /** Memory limit above which the process is killed. @default half of the machine's memory */
  limit: size().optional(),
});

/** How a process stops after SIGTERM. */
export const shutdownSettingsSchema = z.strictObject({
  /** Time from the signal until the process has ended. Whatever kills it must wait longer. */
  grace: duration()
    .prefault('60s')
    .refine((ms) => ms >= MIN_GRACE_MS, `must be at least ${MIN_GRACE_MS}ms`),
});

export const durationWithDefault = (text: string): z.ZodPrefault<ReturnType<typeof duration>> =>
  duration().prefault(text);

/** Returns a function that maps an announced address to the one to connect to. */
export function createAddressResolver(
  network: z.infer<typeof networkSettingsSchema>,
): (address: string) => string {
  return (announced) => network.dialOverrides[announced] ?? announced;
}
