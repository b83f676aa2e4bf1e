/** Values with units in settings files: `250ms`, `2s`, `64MiB`. A bare number is an error. */
import { z } from 'zod';

const DURATION_UNITS: Readonly<Record<string, number>> = {
  ms: 1,
  s: 1_000,
  min: 60_000,
  h: 3_600_000,
};

const SIZE_UNITS: Readonly<Record<string, number>> = {
  B: 1,
  KiB: 1024,
  MiB: 1024 ** 2,
  GiB: 1024 ** 3,
};

const QUANTITY_PATTERN = /^(\d+(?:\.\d+)?)\s*([A-Za-z]+)$/;

function parseQuantity(text: string, units: Readonly<Record<string, number>>): number | undefined {
  const match = QUANTITY_PATTERN.exec(text);
  const factor = match ? units[match[2]!] : undefined;
  return match && factor !== undefined ? Number(match[1]) * factor : undefined;
}

function quantity(
  units: Readonly<Record<string, number>>,
  example: string,
): z.ZodPipe<z.ZodString, z.ZodTransform<number, string>> {
  const names = Object.keys(units).join(', ');
  return z
    .string(`must be text with a unit (${names}), for example ${example}`)
    .transform((text, context) => {
      const value = parseQuantity(text, units);
      if (value !== undefined) return value;
      context.addIssue({
        code: 'custom',
        message: `"${text}" is not a number with a unit (${names}), for example ${example}`,
      });
      return z.NEVER;
    });
}

/** A duration, read as milliseconds. */
export function duration(): ReturnType<typeof quantity> {
  return quantity(DURATION_UNITS, '250ms');
}

/** A size, read as bytes. */
export function size(): ReturnType<typeof quantity> {
  return quantity(SIZE_UNITS, '64MiB');
}
