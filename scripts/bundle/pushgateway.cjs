/** Replaces prom-client's push gateway client, which loads node:https and node:zlib. Metrics are scraped, not pushed. */
'use strict'
module.exports = class {
  constructor () { throw new Error('the push gateway is left out of the bundle') }
}
