import fc from 'fast-check';
import { expect, it } from 'vitest';
import { sampleRegistration } from '../../tests/support/directory-samples.js';
import type { BackendRegistration } from './backend-registration.js';
import { RegisteredBackends } from './registered-backends.js';

const NAMES = ['a', 'b', 'c'];
const ADDRESSES = ['127.0.0.1:1', '127.0.0.1:2', '127.0.0.1:3'];

interface Step {
  backend: BackendRegistration;
  isRemoval: boolean;
}

const step: fc.Arbitrary<Step> = fc.record({
  backend: fc
    .record({
      name: fc.constantFrom(...NAMES),
      address: fc.constantFrom(...ADDRESSES),
      startedAt: fc.integer({ min: 1, max: 3 }),
    })
    .map((drawn) => sampleRegistration(drawn)),
  isRemoval: fc.boolean(),
});

function byId(left: BackendRegistration, right: BackendRegistration): number {
  return left.id < right.id ? -1 : 1;
}

it('finds the same backends by name and address as a linear search', () => {
  fc.assert(
    fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
      const registered = new RegisteredBackends();
      const expected = new Map<string, BackendRegistration>();
      for (const { backend, isRemoval } of steps) {
        if (isRemoval) expect(registered.delete(backend.id)).toBe(expected.delete(backend.id));
        else registered.set(backend);
        if (!isRemoval) expected.set(backend.id, backend);
      }
      expect([...registered.byId]).toEqual([...expected]);
      for (const name of NAMES) {
        const named = [...expected.values()].filter((backend) => backend.name === name).sort(byId);
        expect(registered.named(name)).toEqual(named);
        for (const address of ADDRESSES) {
          const either = [...expected.values()].filter(
            (backend) => backend.name === name || backend.address === address,
          );
          expect(registered.havingNameOrAddress(name, address)).toEqual(either.sort(byId));
        }
      }
    }),
  );
});
