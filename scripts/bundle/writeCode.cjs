/**
 * Runs the daemon, and writes out at its end what the engine has compiled:
 * functions that ran by then are in it, so a start compiles none of them.
 */
'use strict'
const { readFileSync, writeFileSync } = require('node:fs')
const { resolve } = require('node:path')
const { Script } = require('node:vm')

const path = resolve('target/program.cjs')
// Wrapped as in platform/boot.ts: compiled code is taken only for the very same text.
const script = new Script(`(function (exports, require, module, __filename, __dirname) {${readFileSync(path, 'utf8')}\n})`, { filename: path })

const exit = process.exit
process.exit = (code) => {
  writeFileSync(resolve('target/program.code'), script.createCachedData())
  exit(code)
}
const main = { exports: {} }
script.runInThisContext().call(main.exports, main.exports, process.getBuiltinModule, main, path, resolve('target'))
main.exports.run({ listener: undefined, timeline: { mark: () => {}, fields: () => ({}) } })
