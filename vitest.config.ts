import { configDefaults, defineConfig } from 'vitest/config';

/** Start processes that a crowd fills, one test at a time and beside no other. */
const CROWD_TESTS = 'platform/**/*.crowd.test.ts';

export default defineConfig({
  test: {
    testTimeout: 60_000,
    hookTimeout: 60_000,
    projects: [
      {
        extends: true,
        test: {
          name: 'all but crowds',
          include: [
            'platform/**/*.test.ts',
            'src/**/*.test.ts',
            'emulator/**/*.test.ts',
            'lab/**/*.test.ts',
            'tests/**/*.test.ts',
          ],
          exclude: [...configDefaults.exclude, CROWD_TESTS],
          maxWorkers: 4,
          sequence: { groupOrder: 0 },
        },
      },
      {
        extends: true,
        test: {
          name: 'crowds',
          include: [CROWD_TESTS],
          maxWorkers: 1,
          sequence: { groupOrder: 1 },
        },
      },
    ],
  },
});
