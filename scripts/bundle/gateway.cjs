/**
 * Starts the bundled daemon from its compiled code: 0.16 s of processor time
 * instead of 0.34, where plain node takes 0.13. Code of another engine or of
 * other flags is not taken, and the program is compiled as usual.
 */
'use strict'
const { readFileSync } = require('node:fs')
const { wrap } = require('node:module')
const { join } = require('node:path')
const { Script } = require('node:vm')

const path = join(__dirname, 'program.cjs')

const readCode = () => {
  try {
    return readFileSync(join(__dirname, 'program.code'))
  } catch (error) {
    process.stderr.write(`no compiled code, so the start takes longer: ${error.message}\n`)
    return undefined
  }
}

const script = new Script(wrap(readFileSync(path, 'utf8')), { filename: path, cachedData: readCode() })
if (script.cachedDataRejected) process.stderr.write('the compiled code is of another engine or other flags, so the start takes longer\n')
const main = { exports: {} }
script.runInThisContext().call(main.exports, main.exports, require, main, path, __dirname)
