/** Intent documents of any size, like those that the letter's fleet would have. */
import { sha256Hex } from '../../src/common/index.js';
import type { IntentDocument } from '../../src/intents/index.js';

export interface DocumentSize {
  /** Where each engine answers. */
  addressOf: (engine: number) => string;
  models: number;
  tenants: number;
  engines: number;
  zones: readonly string[];
}

export function engineName(index: number): string {
  return `runner-${index}`;
}

export function engineZone(index: number, zones: readonly string[]): string {
  return zones[index % zones.length]!;
}

/** @param variant changes one engine, so that documents differ */
export function createDocument(size: DocumentSize, variant = 0): IntentDocument {
  const modelIds = Array.from({ length: size.models }, (_, index) => `model-${index + 1}`);
  return {
    models: modelIds.map((id) => ({ id, version: 'v1', adapters: [] })),
    tenants: Array.from({ length: size.tenants }, (_, index) => ({
      id: `tenant-${index + 1}`,
      keyHashes: [sha256Hex(`key-of-tenant-${index + 1}`)],
      models: [modelIds[index % modelIds.length]!, modelIds[0]!].filter(isFirst),
      weight: 1,
      maxProgramBudget: 10_000_000,
    })),
    backends: Array.from({ length: size.engines }, (_, index) => ({
      id: engineName(index),
      kind: 'engine' as const,
      zone: engineZone(index, size.zones),
      address: size.addressOf(index),
      models: [modelIds[Math.floor(index / size.zones.length) % modelIds.length]!],
      services: [],
      state: index === variant % size.engines && variant > 0 ? 'draining' : 'active',
    })),
  };
}

function isFirst<Item>(item: Item, index: number, items: Item[]): boolean {
  return items.indexOf(item) === index;
}
