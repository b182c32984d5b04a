/** Stands in for undici's HTTP/2 client: backend servers and the store speak HTTP/1.1, and loading node:http2 would be a quarter of the start. */
'use strict'
module.exports = () => { throw new Error('HTTP/2 is left out of the bundle') }
