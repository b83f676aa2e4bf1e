/** A partial declaration: items to set and ids to remove. */
import { z } from 'zod';
import {
  type IntentChange,
  type IntentDocument,
  type IntentItem,
  SECTIONS,
  backendSchema,
  itemChange,
  findItem,
  modelSchema,
  itemRemoval,
  tenantSchema,
} from './document.js';

const ids = z.array(z.string().min(1)).default([]);

export const partialDocumentSchema = z.strictObject({
  /** Items to add, or to replace if the id exists. */
  set: z
    .strictObject({
      models: z.array(modelSchema).default([]),
      tenants: z.array(tenantSchema).default([]),
      backends: z.array(backendSchema).default([]),
    })
    .prefault({}),
  /** Ids of items to remove. */
  remove: z.strictObject({ models: ids, tenants: ids, backends: ids }).prefault({}),
});

export type PartialDocument = z.infer<typeof partialDocumentSchema>;

/** Whether a declaration is partial, that is, has a `set` or `remove` section. */
export function isPartialDeclaration(declaration: unknown): boolean {
  const isMapping = typeof declaration === 'object' && declaration !== null;
  return isMapping && ('set' in declaration || 'remove' in declaration);
}

/** Changes that a partial document makes to the current one; unchanged items are omitted. */
export function changesFromPartial(
  partial: PartialDocument,
  current: IntentDocument,
): IntentChange[] {
  return SECTIONS.flatMap((section): IntentChange[] => {
    const items: readonly IntentItem[] = current[section];
    const removed = partial.remove[section]
      .filter((id) => findItem(items, id))
      .map((id) => itemRemoval(section, id));
    const set = partial.set[section]
      .map((item) => itemChange(section, findItem(items, item.id), item))
      .filter((change) => change !== undefined);
    return [...removed, ...set];
  });
}
