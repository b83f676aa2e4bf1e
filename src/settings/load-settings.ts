/** Loads a YAML settings file, applies overrides from flags and validates the result. */
import { readFileSync } from 'node:fs';
import { parseDocument } from 'yaml';
import type { z } from 'zod';
import { SettingsError } from './errors.js';

/** Path of a setting, for example `node.name`, and its value as text. */
export interface SettingOverride {
  path: string;
  value: string;
}

/**
 * Loads and validates settings.
 * @throws SettingsError naming the file, the path in it and what is expected
 */
export function loadSettings<Schema extends z.ZodType>(
  schema: Schema,
  file: string,
  overrides: readonly SettingOverride[] = [],
): z.infer<Schema> {
  const raw = parseYaml(file);
  for (const override of overrides) setPath(raw, override, file);
  return checkSettings(schema, raw, file);
}

/** Validates settings that are already parsed. @throws SettingsError */
export function checkSettings<Schema extends z.ZodType>(
  schema: Schema,
  raw: unknown,
  source: string,
): z.infer<Schema> {
  const result = schema.safeParse(raw);
  if (result.success) return result.data;
  const lines = result.error.issues.map((issue) => {
    const path = issue.path.map(String).join('.') || '(top level)';
    return `${source}: ${path}: ${issue.message}`;
  });
  throw new SettingsError(lines.join('\n'), { step: 'settings.check', peer: source });
}

function parseYaml(file: string): Record<string, unknown> {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (cause) {
    throw new SettingsError('cannot read the file', { step: 'settings.read', peer: file, cause });
  }
  const document = parseDocument(text, { prettyErrors: true, uniqueKeys: true });
  const [problem] = document.errors;
  if (problem) {
    throw new SettingsError(`${file}: ${problem.message}`, { step: 'settings.parse', peer: file });
  }
  const value: unknown = document.toJS();
  if (typeof value !== 'object' || value === null || Array.isArray(value)) {
    throw new SettingsError(`${file}: must hold a mapping of settings`, {
      step: 'settings.parse',
      peer: file,
    });
  }
  return value as Record<string, unknown>;
}

function setPath(root: Record<string, unknown>, override: SettingOverride, file: string): void {
  const keys = override.path.split('.');
  const last = keys.pop()!;
  let target = root;
  for (const key of keys) {
    const next = target[key] ?? {};
    if (typeof next !== 'object' || next === null) {
      throw new SettingsError(`--set ${override.path}: ${key} is not a mapping`, {
        step: 'settings.override',
        peer: file,
      });
    }
    target[key] = next;
    target = next as Record<string, unknown>;
  }
  target[last] = parseDocument(override.value).toJS();
}
