/** A declaration of what shall differ only: items to set and items to remove. */
import { z } from 'zod';
import {
  type IntentChange,
  type IntentDocument,
  type IntentItem,
  SECTIONS,
  backendSchema,
  findItem,
  modelSchema,
  tenantSchema,
} from './document.js';

const ids = z.array(z.string().min(1)).default([]);

export const partialDocumentSchema = z.strictObject({
  /** Items that are added, or replaced where the id is known. */
  set: z
    .strictObject({
      models: z.array(modelSchema).default([]),
      tenants: z.array(tenantSchema).default([]),
      backends: z.array(backendSchema).default([]),
    })
    .prefault({}),
  /** Ids of items that are removed. */
  remove: z.strictObject({ models: ids, tenants: ids, backends: ids }).prefault({}),
});

export type PartialDocument = z.infer<typeof partialDocumentSchema>;

/** What a partial document changes in a whole one; items that are equal already are left out. */
export function changesOf(partial: PartialDocument, current: IntentDocument): IntentChange[] {
  return SECTIONS.flatMap((section): IntentChange[] => {
    const items: readonly IntentItem[] = current[section];
    const removed = partial.remove[section]
      .filter((id) => findItem(items, id))
      .map((id): IntentChange => ({ section, id, action: 'remove' }));
    const set = partial.set[section].flatMap((item): IntentChange[] => {
      const known = findItem(items, item.id);
      if (known && JSON.stringify(known) === JSON.stringify(item)) return [];
      return [{ section, id: item.id, action: known ? 'change' : 'add', item }];
    });
    return [...removed, ...set];
  });
}
