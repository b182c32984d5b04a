/**
 * Runs the daemon and, when it exits, writes the V8 code cache. The cache contains
 * the functions that have run by then, so a start does not compile these again.
 */
'use strict'
const { readFileSync, writeFileSync } = require('node:fs')
const { resolve } = require('node:path')
const { Script } = require('node:vm')

const path = resolve('target/program.cjs')
// Wrapped as in platform/boot.ts: V8 accepts a code cache only for exactly the same source text.
const script = new Script(`(function (exports, require, module, __filename, __dirname) {${readFileSync(path, 'utf8')}\n})`, { filename: path })

const exit = process.exit
process.exit = (code) => {
  writeFileSync(resolve('target/program.code'), script.createCachedData())
  exit(code)
}
const main = { exports: {} }
script.runInThisContext().call(main.exports, main.exports, process.getBuiltinModule, main, path, resolve('target'))
main.exports.run({
  listener: undefined,
  timeline: { mark: () => {}, fields: () => ({}) },
  signals: { handOver: ({ SIGTERM: stop }) => { process.on('SIGTERM', () => stop()) } }
})
