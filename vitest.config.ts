import { defineConfig } from 'vitest/config'

// Integration tests start real processes. So few files run at once, and the
// time-outs are long enough that tests do not fail on a busy machine.
export default defineConfig({
  test: {
    include: ['platform/**/test.ts', 'src/**/test.ts', 'src/**/*.test.ts', 'test/**/*.test.ts', 'bench/**/test.ts'],
    testTimeout: 120_000,
    hookTimeout: 120_000,
    pool: 'forks',
    poolOptions: { forks: { maxForks: 4 } }
  }
})
