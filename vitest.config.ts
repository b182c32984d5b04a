import { defineConfig } from 'vitest/config'

// Integration tests start real processes, so few files run at once and a
// test gets long enough that a busy machine does not decide its verdict.
export default defineConfig({
  test: {
    include: ['platform/**/test.ts', 'src/**/test.ts', 'src/**/*.test.ts', 'test/**/*.test.ts', 'bench/**/test.ts'],
    testTimeout: 120_000,
    hookTimeout: 120_000,
    pool: 'forks',
    poolOptions: { forks: { maxForks: 4 } }
  }
})
