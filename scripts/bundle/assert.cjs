/** Stands in for node:assert, of which undici calls the plain check: the module itself loads four others and the colours of its messages. */
'use strict'
module.exports = (value, message) => {
  if (value) return
  throw message instanceof Error ? message : new Error(`assertion failed${message === undefined ? '' : `: ${message}`}`)
}
