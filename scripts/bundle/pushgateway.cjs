/** Stands in for prom-client's push gateway, which loads node:https and node:zlib: metrics are scraped here. */
'use strict'
module.exports = class {
  constructor () { throw new Error('the push gateway is left out of the bundle') }
}
