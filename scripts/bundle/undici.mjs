/** The parts of undici that the daemon uses; its index loads fetch, caches and WebSockets besides. */
import request from 'undici/lib/api/api-request.js'
import buildConnector from 'undici/lib/core/connect.js'
import Client from 'undici/lib/dispatcher/client.js'
import Dispatcher from 'undici/lib/dispatcher/dispatcher.js'
import Pool from 'undici/lib/dispatcher/pool.js'

// The index adds the calls to the class that clients and pools share.
Dispatcher.prototype.request = request

export { buildConnector, Client, Pool }
