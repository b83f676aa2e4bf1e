/** Placement of groups and identity of a data folder. */
import { rmSync } from 'node:fs';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { temporaryFolder } from '../../tests/support/temporary-folder.js';
import { IdentityStore } from './identity.js';
import { placeGroup } from './placement.js';

describe('placement', () => {
  const zones = fc.array(fc.integer({ min: 0, max: 6 }), { minLength: 1, maxLength: 26 });

  it('spreads a group over as many zones as there are', () => {
    fc.assert(
      fc.property(zones, fc.integer({ min: 1, max: 5 }), fc.string(), (of, replicas, group) => {
        const members = of.map((zone, index) => ({
          name: `control-${index}`,
          zone: `zone-${zone}`,
          region: 'region',
          address: `h:${index}`,
        }));
        const chosen = placeGroup(group, members, replicas);
        const available = new Set(members.map((member) => member.zone)).size;
        expect(new Set(chosen.map((member) => member.name)).size).toBe(
          Math.min(replicas, members.length),
        );
        expect(new Set(chosen.map((member) => member.zone)).size).toBe(
          Math.min(chosen.length, available),
        );
      }),
    );
  });

  it('keeps a majority when any single region is lost', () => {
    const members = Array.from({ length: 26 }, (_, index) => ({
      name: `control-${index}`,
      zone: `zone-${index % 15}`,
      region: `region-${(index % 15) % 4}`,
      address: `h:${index}`,
    }));
    for (let group = 0; group < 200; group += 1) {
      const regions = placeGroup(`journal-${group}`, members, 3).map((member) => member.region);
      expect(new Set(regions).size).toBe(3);
    }
  });

  it('moves few groups when a member is added', () => {
    const members = Array.from({ length: 10 }, (_, index) => ({
      name: `control-${index}`,
      zone: `zone-${index % 5}`,
      region: 'region',
      address: `h:${index}`,
    }));
    const added = [
      ...members,
      { name: 'control-10', zone: 'zone-0', region: 'region', address: 'h:10' },
    ];
    const groups = Array.from({ length: 200 }, (_, index) => `journal-${index}`);
    const namesOf = (from: typeof members, group: string): string[] =>
      placeGroup(group, from, 3).map((member) => member.name);
    const moved = groups.flatMap((group) => {
      const before = new Set(namesOf(members, group));
      return namesOf(added, group).filter((name) => !before.has(name));
    });
    // 3 in 11 groups have a replica on the new member; few others move.
    expect(moved.length).toBeLessThan(groups.length * 3 * 0.2);
  });
});

describe('identity', () => {
  it('persists with the folder and is new after the folder is lost', async () => {
    const folder = temporaryFolder();
    const first = await IdentityStore.open(folder, 'control-1');
    await first.save({ ...first.identity, state: 'member' });
    const again = await IdentityStore.open(folder, 'control-1');
    expect(again.identity).toEqual(first.identity);
    rmSync(folder, { recursive: true });
    const renewed = await IdentityStore.open(folder, 'control-1');
    expect(renewed.identity.memberId).not.toBe(first.identity.memberId);
    expect(renewed.identity.state).toBe('new');
  });
});
