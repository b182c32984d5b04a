/** Replaces node:assert in the bundle. undici only calls `assert(value, message)`; node:assert itself loads four other modules and the colour support of its messages. */
'use strict'
module.exports = (value, message) => {
  if (value) return
  throw message instanceof Error ? message : new Error(`assertion failed${message === undefined ? '' : `: ${message}`}`)
}
