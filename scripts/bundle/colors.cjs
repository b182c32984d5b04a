/** Stands in for the colours of log levels: the daemon writes JSON. */
'use strict'
module.exports = {}
