/** Replaces undici's HTTP/2 client. Backend servers and the store use HTTP/1.1, and loading node:http2 would take a quarter of the start-up time. */
'use strict'
module.exports = () => { throw new Error('HTTP/2 is left out of the bundle') }
