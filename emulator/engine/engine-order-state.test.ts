import { describe, expect, it } from 'vitest';
import { EngineOrderState } from './engine-order-state.js';

const models = [{ id: 'm', version: 'v1', adapters: [] }];

describe('orders', () => {
  it('rejects an order older than the current one', () => {
    const state = new EngineOrderState(undefined);
    expect(state.apply({ fence: 5, role: 'draining', models })).toBe(true);
    expect(state.apply({ fence: 4, role: 'active', models: [] })).toBe(false);
    expect(state.role).toBe('draining');
    expect(state.apply({ fence: 5, role: 'draining', models })).toBe(true);
  });

  it('serves every model before the first order, then only the ordered ones', () => {
    const state = new EngineOrderState(undefined);
    expect(state.serves('other')).toBe(true);
    state.apply({ fence: 1, role: 'active', models });
    expect([state.serves('m'), state.serves('other')]).toEqual([true, false]);
  });
});
