/** Stands in for prom-client's registry of a cluster's workers, which loads node:cluster and node:child_process: a node is one process. */
'use strict'
module.exports = class {
  constructor () { throw new Error('the registry of a cluster is left out of the bundle') }
}
