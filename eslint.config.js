import neostandard from 'neostandard'

const ioModules = [
  'node:*', 'fastify', 'undici', 'winston', 'prom-client', 'commander', 'cbor-x',
  '**/adapters/**', '**/services/**', '**/cli/**', '**/emulator/**'
]

/** Names that belong to the operators' platform. They are translated in platform/ and must not occur in src/. X-Deadline-Ms is not listed, since the product has a header of that name too. */
const platformNames = /^(x-(attempt-id|server-stamp|prompt-prefix|token-count|expect-instance|not-executed|server-load|request-priority)|path_prefix|api_keys|after_rev|current_rev|latency_goal_ms|route_type|config_apply_ms)$/i

const impureGlobals = ['Date', 'setTimeout', 'setInterval', 'setImmediate', 'process', 'performance', 'fetch']

export default [
  ...neostandard({ ts: true, ignores: ['dist/**', 'coverage/**', 'target/**', 'journal/**'] }),
  {
    files: ['src/**/*.ts'],
    rules: {
      'no-restricted-imports': ['error', { patterns: [{ group: ['**/platform/*/index.js', '!**/types/**'], message: 'The product learns nothing of the operators\' platform.' }] }],
      'no-restricted-syntax': ['error',
        { selector: `Literal[value=${platformNames}]`, message: 'Names of the operators\' platform stay in platform/.' },
        { selector: `Identifier[name=${platformNames}]`, message: 'Names of the operators\' platform stay in platform/.' }
      ]
    }
  },
  {
    files: ['src/decisions/**/*.ts'],
    ignores: ['**/test.ts'],
    rules: {
      'no-restricted-imports': ['error', { patterns: [{ group: ioModules, message: 'Decisions are pure: clock, random source and I/O come in as arguments.' }] }],
      'no-restricted-globals': ['error', ...impureGlobals.map((name) => ({ name, message: 'Decisions are pure: time and I/O come in as arguments.' }))],
      'no-restricted-properties': ['error', { object: 'Math', property: 'random', message: 'Decisions take their random source as an argument.' }]
    }
  }
]
