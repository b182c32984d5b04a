/** Replaces the colours of log levels, which the daemon does not use: it logs JSON. */
'use strict'
module.exports = {}
