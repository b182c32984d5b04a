/**
 * Writes the compiled code of the bundled daemon. The program is started
 * without settings, at which it ends by itself: the functions that a start runs
 * are compiled by then, and the engine writes out what it has compiled.
 */
'use strict'
const { readFileSync, writeFileSync } = require('node:fs')
const { wrap } = require('node:module')
const { devNull } = require('node:os')
const { join, resolve } = require('node:path')
const { Script } = require('node:vm')

const folder = resolve('target')
const path = join(folder, 'program.cjs')
const script = new Script(wrap(readFileSync(path, 'utf8')), { filename: path })

process.env.DOTTERELSPOKE_NODE_FILE = devNull
process.stderr.write = () => true
const exit = process.exit
process.exit = () => {
  writeFileSync(join(folder, 'program.code'), script.createCachedData())
  exit(0)
}
const main = { exports: {} }
script.runInThisContext().call(main.exports, main.exports, require, main, path, folder)
