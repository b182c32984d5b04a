/**
 * The log events of a gateway node, by name. The names are stable: operators'
 * queries and `explain` rest on them.
 */

export type EventLevel = 'error' | 'warn' | 'info'

export type EventDescription = {
  readonly level: EventLevel
  /** Lines a second that are written at most; the others are counted. */
  readonly linesPerSecond: number
  readonly meaning: string
}

/** Lines a second of what happens to every request: a node at its full rate has some hundred requests a second. */
const EVERY_REQUEST = 40
/** Lines a second of what goes wrong: five times as many, so that failures are there when successes are left out. */
const FAILURES = 200
/** Lines a second of what changes a belief; a release of all servers brings some hundred at once. */
const BELIEFS = 200

export const gatewayEvents = {
  'request sent': { level: 'info', linesPerSecond: EVERY_REQUEST, meaning: 'a request went to a backend server' },
  'request complete': { level: 'info', linesPerSecond: EVERY_REQUEST, meaning: 'the caller has the whole answer' },
  'request ended': { level: 'info', linesPerSecond: FAILURES, meaning: 'the final answer is a refusal or a failure, or the caller left' },
  'request sent again': { level: 'info', linesPerSecond: FAILURES, meaning: 'a request went to another backend server after a failure' },
  'backend server refused': { level: 'info', linesPerSecond: FAILURES, meaning: 'a backend server states that it did not run a request' },
  'backend server failed': { level: 'info', linesPerSecond: FAILURES, meaning: 'a backend server states that it failed while it ran a request' },
  'exchange failed': { level: 'info', linesPerSecond: FAILURES, meaning: 'a connection or an answer broke, or the answer was another request\'s' },
  'backend server silent': { level: 'info', linesPerSecond: FAILURES, meaning: 'a request was taken away from a backend server that says nothing' },
  'backend server held': { level: 'warn', linesPerSecond: BELIEFS, meaning: 'a backend server gets no work for a while' },
  'backend server back': { level: 'info', linesPerSecond: BELIEFS, meaning: 'a backend server gets work again' },
  'availability zone held': { level: 'warn', linesPerSecond: BELIEFS, meaning: 'no backend server of a zone gets work until one of them is reached' },
  'backend server added': { level: 'info', linesPerSecond: BELIEFS, meaning: 'a backend server was registered' },
  'backend server leaving': { level: 'info', linesPerSecond: BELIEFS, meaning: 'a backend server gets no new work' },
  'backend server removed': { level: 'info', linesPerSecond: BELIEFS, meaning: 'a backend server is gone' },
  'backend server entry is malformed': { level: 'warn', linesPerSecond: BELIEFS, meaning: 'an entry names no backend server' },
  'backend server list lost': { level: 'warn', linesPerSecond: BELIEFS, meaning: 'the source of the backend servers can\'t be read' },
  'backend server list reached': { level: 'info', linesPerSecond: BELIEFS, meaning: 'the source of the backend servers can be read again' },
  'backend server history gone': { level: 'info', linesPerSecond: BELIEFS, meaning: 'changes of the backend servers were lost; the list is read anew' },
  'zone drain begun': { level: 'info', linesPerSecond: BELIEFS, meaning: 'the backend servers of a zone get no new work from now on' },
  'zone drain ended': { level: 'info', linesPerSecond: BELIEFS, meaning: 'the backend servers of a zone get work again, as warming ones at first' },
  'zone drain names no zone': { level: 'warn', linesPerSecond: BELIEFS, meaning: 'a drain was asked for under a name that no zone has; it changes nothing' },
  'zone drains lost': { level: 'warn', linesPerSecond: BELIEFS, meaning: 'the source of the zone drains can\'t be read' },
  'zone drains reached': { level: 'info', linesPerSecond: BELIEFS, meaning: 'the source of the zone drains can be read again' },
  'zone drain history gone': { level: 'info', linesPerSecond: BELIEFS, meaning: 'changes of the zone drains were lost; they are read anew' },
  'configuration in force': { level: 'info', linesPerSecond: BELIEFS, meaning: 'another version of the configuration holds from now on' },
  'configuration source lost': { level: 'warn', linesPerSecond: BELIEFS, meaning: 'the source of the configuration can\'t be read' },
  'configuration source reached': { level: 'info', linesPerSecond: BELIEFS, meaning: 'the source of the configuration can be read again' },
  'configuration of a peer is malformed': { level: 'warn', linesPerSecond: BELIEFS, meaning: 'a peer handed on a configuration that can\'t be read' },
  'prompt places learnt': { level: 'info', linesPerSecond: BELIEFS, meaning: 'after a start, a peer or an engine told where prompts are kept' },
  'prompt places not learnt': { level: 'warn', linesPerSecond: BELIEFS, meaning: 'after a start, an engine did not tell what it keeps' },
  'member changed': { level: 'info', linesPerSecond: BELIEFS, meaning: 'a peer is believed to be in another state' },
  'refuted a rumour about this node': { level: 'warn', linesPerSecond: BELIEFS, meaning: 'peers believed this node to be gone' },
  'connection with bytes that are no request': { level: 'info', linesPerSecond: EVERY_REQUEST, meaning: 'a caller\'s connection was ended' },
  'gateway started': { level: 'info', linesPerSecond: BELIEFS, meaning: 'the listeners are open' },
  'start timeline': { level: 'info', linesPerSecond: BELIEFS, meaning: 'how long after the start of its process the node came how far, and what processor time it had spent by then' },
  'gateway stopping': { level: 'info', linesPerSecond: BELIEFS, meaning: 'the stop has begun; readiness fails' },
  'gateway stopped': { level: 'info', linesPerSecond: BELIEFS, meaning: 'nothing is open any more, or the grace is over' },
  'settings reloaded': { level: 'info', linesPerSecond: BELIEFS, meaning: 'the settings file was read again' },
  'settings refused': { level: 'warn', linesPerSecond: BELIEFS, meaning: 'the settings file has a wrong field; the settings before it hold' },
  'stop failed': { level: 'error', linesPerSecond: BELIEFS, meaning: 'the stop broke off' },
  'log lines left out': { level: 'warn', linesPerSecond: BELIEFS, meaning: 'events over their lines a second, or lines that a full pipe did not take' }
} as const satisfies Readonly<Record<string, EventDescription>>

export type GatewayEvent = keyof typeof gatewayEvents
