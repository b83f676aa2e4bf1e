import { defineConfig } from 'vitest/config';

export default defineConfig({
  test: {
    include: [
      'platform/**/*.test.ts',
      'src/**/*.test.ts',
      'emulator/**/*.test.ts',
      'lab/**/*.test.ts',
      'tests/**/*.test.ts',
    ],
    testTimeout: 60_000,
    hookTimeout: 60_000,
    maxWorkers: 4,
  },
});
