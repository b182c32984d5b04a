/** Replaces prom-client's registry for cluster workers, which loads node:cluster and node:child_process. A node is a single process and has no workers. */
'use strict'
module.exports = class {
  constructor () { throw new Error('the registry of a cluster is left out of the bundle') }
}
