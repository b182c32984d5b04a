import neostandard from 'neostandard'

const ioModules = [
  'node:*', 'fastify', 'undici', 'winston', 'prom-client', 'commander', 'cbor-x',
  '**/adapters/**', '**/services/**', '**/cli/**', '**/emulator/**'
]

const impureGlobals = ['Date', 'setTimeout', 'setInterval', 'setImmediate', 'process', 'performance', 'fetch']

export default [
  ...neostandard({ ts: true, ignores: ['dist/**', 'coverage/**'] }),
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
