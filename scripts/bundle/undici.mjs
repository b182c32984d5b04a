/** Exports the parts of undici that the daemon uses; the index of undici also loads fetch, caches and WebSockets. */
import request from 'undici/lib/api/api-request.js'
import buildConnector from 'undici/lib/core/connect.js'
import Client from 'undici/lib/dispatcher/client.js'
import Dispatcher from 'undici/lib/dispatcher/dispatcher.js'
import Pool from 'undici/lib/dispatcher/pool.js'

// The index of undici adds methods such as `request` to the base class of clients and pools.
Dispatcher.prototype.request = request

export { buildConnector, Client, Pool }
