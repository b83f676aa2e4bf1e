/**
 * The intent document: the desired state of models, tenants and backends, as declared by operators. Plans and deltas
 * are computed item by item.
 */
import { z } from 'zod';
import { sha256Hex } from '../common/index.js';

const identifier = z
  .string()
  .regex(/^[a-z0-9][a-z0-9._-]{0,62}$/, 'must be lower-case letters, digits, ".", "_" or "-"');
const address = z.string().regex(/^[^\s:]+:\d{1,5}$/, 'must be host:port');
const sha256 = z.string().regex(/^[0-9a-f]{64}$/, 'must be a SHA-256 in hexadecimal digits');

export const modelSchema = z.strictObject({
  id: identifier,
  /** Version of the weights to serve. */
  version: identifier.default('v1'),
  /** Adapters to load with the model. */
  adapters: z.array(identifier).default([]),
});

export const tenantSchema = z.strictObject({
  id: identifier,
  /** SHA-256 of each API key; the keys are never stored. */
  keyHashes: z.array(sha256).min(1),
  models: z.array(identifier).min(1),
  /** Share of the backends relative to other tenants. */
  weight: z.number().positive().max(1000).default(1),
  /** Maximum token budget of a program. */
  maxProgramBudget: z.number().int().positive().default(10_000_000),
});

export const backendSchema = z.strictObject({
  id: identifier,
  kind: z.enum(['engine', 'service']),
  zone: identifier,
  address,
  /** Models that an engine serves. */
  models: z.array(identifier).default([]),
  /** Services that a service backend offers. */
  services: z.array(identifier).default([]),
  /** `draining`: accepts no new work and finishes its current work. */
  state: z.enum(['active', 'draining']).default('active'),
});

export const intentDocumentSchema = z.strictObject({
  models: z.array(modelSchema).default([]),
  tenants: z.array(tenantSchema).default([]),
  backends: z.array(backendSchema).default([]),
});

export type ModelIntent = z.infer<typeof modelSchema>;
export type TenantIntent = z.infer<typeof tenantSchema>;
export type BackendIntent = z.infer<typeof backendSchema>;
export type IntentDocument = z.infer<typeof intentDocumentSchema>;
export type IntentSection = keyof IntentDocument;
export type IntentItem = ModelIntent | TenantIntent | BackendIntent;

export const EMPTY_DOCUMENT: IntentDocument = { models: [], tenants: [], backends: [] };
export const SECTIONS: readonly IntentSection[] = ['models', 'tenants', 'backends'];

/** One item that differs between two documents. */
export interface IntentChange {
  section: IntentSection;
  id: string;
  action: 'add' | 'change' | 'remove';
  /** The new item; absent for `remove`. */
  item?: IntentItem;
}

/** Problems that the schema cannot detect, such as references to unknown models; empty if there are none. */
export function findInconsistencies(document: IntentDocument): string[] {
  const problems: string[] = [];
  for (const section of SECTIONS) problems.push(...findDuplicateIds(document, section));
  const models = new Set(document.models.map((model) => model.id));
  for (const tenant of document.tenants) {
    for (const model of tenant.models) {
      if (!models.has(model)) problems.push(`tenants/${tenant.id}: unknown model ${model}`);
    }
  }
  for (const backend of document.backends) {
    for (const model of backend.models) {
      if (!models.has(model)) problems.push(`backends/${backend.id}: unknown model ${model}`);
    }
    const servedCount = backend.kind === 'engine' ? backend.models.length : backend.services.length;
    if (servedCount === 0) problems.push(`backends/${backend.id}: serves nothing`);
  }
  return problems;
}

/** Changes that turn one document into another, in a deterministic order. */
export function diffDocuments(from: IntentDocument, to: IntentDocument): IntentChange[] {
  return SECTIONS.flatMap((section) => diffSection(section, from[section], to[section]));
}

/** Applies changes to a normalized document, without modifying it. */
export function applyChanges(document: IntentDocument, changes: IntentChange[]): IntentDocument {
  const result: IntentDocument = { ...document };
  for (const section of SECTIONS) {
    const sectionChanges = changes.filter((change) => change.section === section);
    if (sectionChanges.length === 0) continue;
    const items: IntentItem[] = document[section].slice();
    for (const change of sectionChanges) applyChange(items, change);
    Object.assign(result, { [section]: items });
  }
  return result;
}

/** Finds an item by binary search; the items must be sorted by id. */
export function findItem<Item extends IntentItem>(
  items: readonly Item[],
  id: string,
): Item | undefined {
  const item = items[positionOf(items, id)];
  return item?.id === id ? item : undefined;
}

function applyChange(items: IntentItem[], { id, item }: IntentChange): void {
  const position = positionOf(items, id);
  const replaced = items[position]?.id === id ? 1 : 0;
  if (item) items.splice(position, replaced, item);
  else items.splice(position, replaced);
}

/** Position of an id in the sorted items, or where it would be inserted. */
function positionOf(items: readonly IntentItem[], id: string): number {
  let low = 0;
  let high = items.length;
  while (low < high) {
    const middle = (low + high) >>> 1;
    if (items[middle]!.id < id) low = middle + 1;
    else high = middle;
  }
  return low;
}

/** Sorts the items by id, so that equal documents have equal text. */
export function normalizeDocument(document: IntentDocument): IntentDocument {
  return {
    models: sortItems(document.models),
    tenants: sortItems(document.tenants),
    backends: sortItems(document.backends),
  };
}

/** Hash of a document's content, independent of the order of items. */
export function contentHash(document: IntentDocument): string {
  const { models, tenants, backends } = normalizeDocument(document);
  const texts = [models, tenants, backends].map((items) => items.map(serialize).join('\n'));
  return sha256Hex(texts.join('\n\n'));
}

/** Cache of serialized items, which are immutable. */
const serializedItems = new WeakMap<IntentItem, string>();

function serialize(item: IntentItem): string {
  let text = serializedItems.get(item);
  if (text === undefined) {
    text = JSON.stringify(item);
    serializedItems.set(item, text);
  }
  return text;
}

function sortItems<Item extends IntentItem>(items: Item[]): Item[] {
  const isSorted = items.every((item, index) => index === 0 || items[index - 1]!.id < item.id);
  return isSorted ? items : [...items].sort((left, right) => (left.id < right.id ? -1 : 1));
}

function findDuplicateIds(document: IntentDocument, section: IntentSection): string[] {
  const seen = new Set<string>();
  const problems: string[] = [];
  for (const { id } of document[section]) {
    if (seen.has(id)) problems.push(`${section}/${id}: listed twice`);
    seen.add(id);
  }
  return problems;
}

/** The change that sets an item; undefined if it equals the old one. */
export function itemChange(
  section: IntentSection,
  old: IntentItem | undefined,
  item: IntentItem,
): IntentChange | undefined {
  if (old && serialize(old) === serialize(item)) return undefined;
  return { section, id: item.id, action: old ? 'change' : 'add', item };
}

export function itemRemoval(section: IntentSection, id: string): IntentChange {
  return { section, id, action: 'remove' };
}

function diffSection(
  section: IntentSection,
  from: readonly IntentItem[],
  to: readonly IntentItem[],
): IntentChange[] {
  const before = new Map(from.map((item) => [item.id, item]));
  const after = new Map(to.map((item) => [item.id, item]));
  const changes: IntentChange[] = [];
  for (const id of [...new Set([...before.keys(), ...after.keys()])].sort()) {
    const item = after.get(id);
    const change = item ? itemChange(section, before.get(id), item) : itemRemoval(section, id);
    if (change) changes.push(change);
  }
  return changes;
}
