/**
 * The log events of a gateway node, by name. The names are stable, because
 * operators' queries and the `explain` command depend on them.
 */

export type EventLevel = 'error' | 'warn' | 'info'

export type EventDescription = {
  readonly level: EventLevel
  /** Maximum lines written per second; further ones are only counted. */
  readonly linesPerSecond: number
  readonly meaning: string
}

/** Lines per second for events of every request: a node at its full rate has a few hundred requests per second. */
const REQUEST_LINES_PER_SECOND = 40
/** Lines per second for failures: five times as many, so that failures are logged even when successes are dropped. */
const FAILURE_LINES_PER_SECOND = 200
/** Lines per second for state changes: a release of all servers causes a few hundred at once. */
const STATE_CHANGE_LINES_PER_SECOND = 200

export const gatewayEvents = {
  'request sent': { level: 'info', linesPerSecond: REQUEST_LINES_PER_SECOND, meaning: 'a request went to a backend server' },
  'request waits': { level: 'info', linesPerSecond: REQUEST_LINES_PER_SECOND, meaning: 'no backend server has room for a request; the line has the inputs of the decision' },
  'request admitted': { level: 'info', linesPerSecond: REQUEST_LINES_PER_SECOND, meaning: 'a request that waited is sent now' },
  'request relayed': { level: 'info', linesPerSecond: FAILURE_LINES_PER_SECOND, meaning: 'a request went to a peer, because this node does not reach the backend servers' },
  'peer refused': { level: 'info', linesPerSecond: FAILURE_LINES_PER_SECOND, meaning: 'a peer states that it had a relayed request not run' },
  'peer avoided': { level: 'info', linesPerSecond: STATE_CHANGE_LINES_PER_SECOND, meaning: 'a peer gets no relayed requests for a while after a failure' },
  'request step failed': { level: 'error', linesPerSecond: STATE_CHANGE_LINES_PER_SECOND, meaning: 'an unexpected error in the handling of one request, which ends or is sent elsewhere; the others go on' },
  'request complete': { level: 'info', linesPerSecond: REQUEST_LINES_PER_SECOND, meaning: 'the caller has received the complete answer' },
  'request ended': { level: 'info', linesPerSecond: FAILURE_LINES_PER_SECOND, meaning: 'the final answer is a refusal or a failure, or the caller disconnected' },
  'request sent again': { level: 'info', linesPerSecond: FAILURE_LINES_PER_SECOND, meaning: 'a request went to another backend server after a failure' },
  'backend server refused': { level: 'info', linesPerSecond: FAILURE_LINES_PER_SECOND, meaning: 'a backend server states that it did not run a request' },
  'backend server failed': { level: 'info', linesPerSecond: FAILURE_LINES_PER_SECOND, meaning: 'a backend server states that it failed while it ran a request' },
  'exchange failed': { level: 'info', linesPerSecond: FAILURE_LINES_PER_SECOND, meaning: 'a connection or an answer broke, or the answer belonged to another request' },
  'retry budget used up': { level: 'warn', linesPerSecond: STATE_CHANGE_LINES_PER_SECOND, meaning: 'this node has used its share of the fleet\'s retry budget for a service; the line has its requests, its retries and its share' },
  'retry budget available again': { level: 'info', linesPerSecond: STATE_CHANGE_LINES_PER_SECOND, meaning: 'this node may send retries for the service again' },
  'stream version found': { level: 'info', linesPerSecond: FAILURE_LINES_PER_SECOND, meaning: 'a caller takes up a stream; the line has the software version at which it began, and how the node knows' },
  'software versions changed': { level: 'info', linesPerSecond: STATE_CHANGE_LINES_PER_SECOND, meaning: 'several software versions serve a service from now on, or only one has for longer than its streams last' },
  'backend server silent': { level: 'info', linesPerSecond: FAILURE_LINES_PER_SECOND, meaning: 'a request was withdrawn from a backend server that does not respond' },
  'exchange kept': { level: 'info', linesPerSecond: FAILURE_LINES_PER_SECOND, meaning: 'a backend server does not respond, but the request can\'t be sent to another one now; the line has the reason, and the answer is still waited for' },
  'exchange resumed': { level: 'info', linesPerSecond: FAILURE_LINES_PER_SECOND, meaning: 'a request returned to the backend server or peer that it was leaving, because that one went on or the new one did not take the request' },
  'backend server ended': { level: 'warn', linesPerSecond: STATE_CHANGE_LINES_PER_SECOND, meaning: 'a backend server ended while requests of this node ran there; the line has their prompt parts' },
  'call of a backend server failed': { level: 'error', linesPerSecond: STATE_CHANGE_LINES_PER_SECOND, meaning: 'an unexpected error in a probe, or in a read of the cached prompts, of one backend server; the call counts as failed' },
  'backend server held': { level: 'warn', linesPerSecond: STATE_CHANGE_LINES_PER_SECOND, meaning: 'a backend server is suspended and gets no requests for a while' },
  'backend server back': { level: 'info', linesPerSecond: STATE_CHANGE_LINES_PER_SECOND, meaning: 'a backend server is no longer suspended' },
  'availability zone held': { level: 'warn', linesPerSecond: STATE_CHANGE_LINES_PER_SECOND, meaning: 'the backend servers of a zone are suspended until one of them can be reached' },
  'all backend servers out of reach': { level: 'warn', linesPerSecond: STATE_CHANGE_LINES_PER_SECOND, meaning: 'this node has every backend server suspended; the line tells what its peers reach' },
  'backend servers in reach again': { level: 'info', linesPerSecond: STATE_CHANGE_LINES_PER_SECOND, meaning: 'at least one backend server is no longer suspended' },
  'load sums lost': { level: 'warn', linesPerSecond: STATE_CHANGE_LINES_PER_SECOND, meaning: 'no total of the requests of all nodes has arrived for a while; this node counts only its own' },
  'load sums back': { level: 'info', linesPerSecond: STATE_CHANGE_LINES_PER_SECOND, meaning: 'a total of the requests of all nodes has arrived again' },
  'backend server added': { level: 'info', linesPerSecond: STATE_CHANGE_LINES_PER_SECOND, meaning: 'a backend server was registered' },
  'backend server backoff begun': { level: 'info', linesPerSecond: STATE_CHANGE_LINES_PER_SECOND, meaning: 'a backend server asked this node to send nothing for a while' },
  'backend server refusal limit changed': { level: 'info', linesPerSecond: STATE_CHANGE_LINES_PER_SECOND, meaning: 'a backend server states how many refusals in a second it bears, or none any more' },
  'backend server slowdown is malformed': { level: 'warn', linesPerSecond: STATE_CHANGE_LINES_PER_SECOND, meaning: 'a backend server states a slowdown that is no positive number; it counts as none, and the line is written once a server' },
  'backend server leaving': { level: 'info', linesPerSecond: STATE_CHANGE_LINES_PER_SECOND, meaning: 'a backend server gets no new work' },
  'backend server removed': { level: 'info', linesPerSecond: STATE_CHANGE_LINES_PER_SECOND, meaning: 'a backend server was removed from the list' },
  'backend server entry is malformed': { level: 'warn', linesPerSecond: STATE_CHANGE_LINES_PER_SECOND, meaning: 'an entry of the list cannot be decoded, and names no backend server; the line has the reason' },
  'backend server list lost': { level: 'warn', linesPerSecond: STATE_CHANGE_LINES_PER_SECOND, meaning: 'the source of the backend servers can\'t be read' },
  'backend server list reached': { level: 'info', linesPerSecond: STATE_CHANGE_LINES_PER_SECOND, meaning: 'the source of the backend servers can be read again' },
  'backend server kept': { level: 'info', linesPerSecond: STATE_CHANGE_LINES_PER_SECOND, meaning: 'the entry of a backend server is missing after an outage of the source; it is removed unless it registers again within `forMs`' },
  'source outage refuted': { level: 'info', linesPerSecond: STATE_CHANGE_LINES_PER_SECOND, meaning: 'the last outage of the source was this node\'s alone: a peer has had answers for `peerAnsweredForMs`, and servers whose entries are missing are removed' },
  'source outage ended': { level: 'info', linesPerSecond: STATE_CHANGE_LINES_PER_SECOND, meaning: 'the source answers again after an outage of `outageMs`: no call of this node, or of the peers that read for it, was answered, and `failedCalls` failed on new connections' },
  'backend server history gone': { level: 'info', linesPerSecond: STATE_CHANGE_LINES_PER_SECOND, meaning: 'the source no longer has all changes of the backend servers; the list is read again' },
  'answer ended unread': { level: 'warn', linesPerSecond: FAILURE_LINES_PER_SECOND, meaning: 'a connection was ended because its caller read nothing for too long, or the memory for callers was used up' },
  'connection with too many requests closed': { level: 'warn', linesPerSecond: FAILURE_LINES_PER_SECOND, meaning: 'a caller sent too many requests on a connection without reading their answers; those that did not run will not' },
  'memory nearly full': { level: 'warn', linesPerSecond: STATE_CHANGE_LINES_PER_SECOND, meaning: 'the heap or the process nears the limit above which it ends without a line; `memory` says which, the other fields what fills it' },
  'memory for callers scarce': { level: 'warn', linesPerSecond: STATE_CHANGE_LINES_PER_SECOND, meaning: 'the bound on bytes held for callers is near; requests are refused' },
  'memory for callers free again': { level: 'info', linesPerSecond: STATE_CHANGE_LINES_PER_SECOND, meaning: 'requests are no longer refused for the bound on held bytes' },
  'backend server reads slowly': { level: 'warn', linesPerSecond: STATE_CHANGE_LINES_PER_SECOND, meaning: 'a backend server does not take the bodies of requests; it gets no new ones meanwhile' },
  'backend server reads again': { level: 'info', linesPerSecond: STATE_CHANGE_LINES_PER_SECOND, meaning: 'a backend server takes the bodies of requests again' },
  'zone drain begun': { level: 'info', linesPerSecond: STATE_CHANGE_LINES_PER_SECOND, meaning: 'the backend servers of a zone get no new requests from now on' },
  'zone drain ended': { level: 'info', linesPerSecond: STATE_CHANGE_LINES_PER_SECOND, meaning: 'the backend servers of a zone get requests again, at first as during warm-up' },
  'zone drain names no zone': { level: 'warn', linesPerSecond: STATE_CHANGE_LINES_PER_SECOND, meaning: 'a drain names an unknown zone and has no effect' },
  'zone drains lost': { level: 'warn', linesPerSecond: STATE_CHANGE_LINES_PER_SECOND, meaning: 'the source of the zone drains can\'t be read' },
  'zone drains reached': { level: 'info', linesPerSecond: STATE_CHANGE_LINES_PER_SECOND, meaning: 'the source of the zone drains can be read again' },
  'zone drain history gone': { level: 'info', linesPerSecond: STATE_CHANGE_LINES_PER_SECOND, meaning: 'the source no longer has all changes of the zone drains; they are read again' },
  'configuration in force': { level: 'info', linesPerSecond: STATE_CHANGE_LINES_PER_SECOND, meaning: 'another version of the configuration is in force from now on' },
  'configuration source lost': { level: 'warn', linesPerSecond: STATE_CHANGE_LINES_PER_SECOND, meaning: 'the source of the configuration can\'t be read' },
  'configuration source reached': { level: 'info', linesPerSecond: STATE_CHANGE_LINES_PER_SECOND, meaning: 'the source of the configuration can be read again' },
  'configuration of a peer is malformed': { level: 'warn', linesPerSecond: STATE_CHANGE_LINES_PER_SECOND, meaning: 'a peer sent a configuration that cannot be decoded' },
  'reply of a peer is malformed': { level: 'warn', linesPerSecond: STATE_CHANGE_LINES_PER_SECOND, meaning: 'a peer answered a query with a message of another form; none of it was applied' },
  'message of a peer failed': { level: 'error', linesPerSecond: STATE_CHANGE_LINES_PER_SECOND, meaning: 'an unexpected error in the handling of a message of a peer, which has no effect; the line has its kind' },
  'prompt parts suspected': { level: 'info', linesPerSecond: STATE_CHANGE_LINES_PER_SECOND, meaning: 'several backend servers ended under requests with these prompt parts; this node asks its peers whether answers with them were in order since' },
  'prompt part quarantined': { level: 'warn', linesPerSecond: STATE_CHANGE_LINES_PER_SECOND, meaning: 'requests with a prompt part are refused from now on; the line has the backend servers that ended under it, and who concluded it' },
  'prompt part trial': { level: 'info', linesPerSecond: STATE_CHANGE_LINES_PER_SECOND, meaning: 'a request with a quarantined prompt part is sent, as the only one of the fleet' },
  'prompt part released': { level: 'info', linesPerSecond: STATE_CHANGE_LINES_PER_SECOND, meaning: 'requests with a prompt part are no longer refused' },
  'quarantines reached': { level: 'info', linesPerSecond: STATE_CHANGE_LINES_PER_SECOND, meaning: 'the stored quarantines can be read again' },
  'quarantines lost': { level: 'warn', linesPerSecond: STATE_CHANGE_LINES_PER_SECOND, meaning: 'the stored quarantines can\'t be read' },
  'quarantine history gone': { level: 'info', linesPerSecond: STATE_CHANGE_LINES_PER_SECOND, meaning: 'the store no longer has all changes of the quarantines; they are read again' },
  'quarantine not written': { level: 'warn', linesPerSecond: STATE_CHANGE_LINES_PER_SECOND, meaning: 'a quarantine could not be written to the store; the line has the call and the reason' },
  'prompt places learnt': { level: 'info', linesPerSecond: STATE_CHANGE_LINES_PER_SECOND, meaning: 'after a start, a peer or a model engine reported cached prefix locations' },
  'prompt places not learnt': { level: 'warn', linesPerSecond: STATE_CHANGE_LINES_PER_SECOND, meaning: 'after a start, a model engine did not report its cached prefixes' },
  'member changed': { level: 'info', linesPerSecond: STATE_CHANGE_LINES_PER_SECOND, meaning: 'the last known state of a peer has changed' },
  'refuted a rumour about this node': { level: 'warn', linesPerSecond: STATE_CHANGE_LINES_PER_SECOND, meaning: 'peers reported a wrong state of this node' },
  'connection with bytes that are no request': { level: 'info', linesPerSecond: REQUEST_LINES_PER_SECOND, meaning: 'a caller\'s connection was closed' },
  'request at a closed connection': { level: 'warn', linesPerSecond: FAILURE_LINES_PER_SECOND, meaning: 'a request arrived after this node had closed its connection, so that it has no answer; it did not run' },
  'gateway started': { level: 'info', linesPerSecond: STATE_CHANGE_LINES_PER_SECOND, meaning: 'the listeners are open, or wait for their ports' },
  'start timeline': { level: 'info', linesPerSecond: STATE_CHANGE_LINES_PER_SECOND, meaning: 'elapsed and processor time from the process start to each start step' },
  'gateway stopping': { level: 'info', linesPerSecond: STATE_CHANGE_LINES_PER_SECOND, meaning: 'the shutdown has begun; readiness fails' },
  'requests open at shutdown': { level: 'info', linesPerSecond: STATE_CHANGE_LINES_PER_SECOND, meaning: 'the requests without a final answer at a node that is shutting down: at its start, each second, and when the grace period is over; the oldest are named' },
  'gateway stopped': { level: 'info', linesPerSecond: STATE_CHANGE_LINES_PER_SECOND, meaning: 'no request is open any more, or the grace period has ended' },
  'signal repeated': { level: 'warn', linesPerSecond: STATE_CHANGE_LINES_PER_SECOND, meaning: 'the process was asked to stop again while it stops; nothing changes' },
  'settings reloaded': { level: 'info', linesPerSecond: STATE_CHANGE_LINES_PER_SECOND, meaning: 'the settings file was read again' },
  'settings refused': { level: 'warn', linesPerSecond: STATE_CHANGE_LINES_PER_SECOND, meaning: 'the settings file has an invalid field; the previous settings stay in force' },
  'seeds left out': { level: 'warn', linesPerSecond: STATE_CHANGE_LINES_PER_SECOND, meaning: 'seeds in the settings file are no addresses; the node does without them' },
  'setting left out': { level: 'warn', linesPerSecond: STATE_CHANGE_LINES_PER_SECOND, meaning: 'an optional field of the settings file can\'t be used at the start; the node uses its default' },
  'settings unusable': { level: 'warn', linesPerSecond: STATE_CHANGE_LINES_PER_SECOND, meaning: 'the settings file can\'t be read or has no usable value for a mandatory field; the process reads it again until it has' },
  'settings usable': { level: 'info', linesPerSecond: STATE_CHANGE_LINES_PER_SECOND, meaning: 'the start goes on with settings that could not be used before' },
  'listener waits for its port': { level: 'warn', linesPerSecond: STATE_CHANGE_LINES_PER_SECOND, meaning: 'a port is held by another process, or its address is not there; it is tried again' },
  'listener got its port': { level: 'info', linesPerSecond: STATE_CHANGE_LINES_PER_SECOND, meaning: 'a listener that has waited for its port is open' },
  'listener takes another port': { level: 'info', linesPerSecond: STATE_CHANGE_LINES_PER_SECOND, meaning: 'the first port for relayed requests is held; a later one of the range is used' },
  'listener left out': { level: 'warn', linesPerSecond: STATE_CHANGE_LINES_PER_SECOND, meaning: 'no port for relayed requests can be had; peers can\'t relay to this node until its next start' },
  'listener failed': { level: 'warn', linesPerSecond: STATE_CHANGE_LINES_PER_SECOND, meaning: 'a connection could not be accepted' },
  'code cache not used': { level: 'warn', linesPerSecond: STATE_CHANGE_LINES_PER_SECOND, meaning: 'the program is compiled from source, and the start takes longer' },
  'log library failed to load': { level: 'error', linesPerSecond: STATE_CHANGE_LINES_PER_SECOND, meaning: 'lines are written without the library' },
  'exception not caught': { level: 'error', linesPerSecond: STATE_CHANGE_LINES_PER_SECOND, meaning: 'an exception that no part caught; the process goes on, and stops in order some minutes after the first one' },
  'stop postponed': { level: 'warn', linesPerSecond: STATE_CHANGE_LINES_PER_SECOND, meaning: 'the stop after an exception waits until the configuration is confirmed' },
  'process ends': { level: 'info', linesPerSecond: STATE_CHANGE_LINES_PER_SECOND, meaning: 'the last line of the process, with the cause' },
  'stop failed': { level: 'error', linesPerSecond: STATE_CHANGE_LINES_PER_SECOND, meaning: 'the shutdown failed' },
  'log lines left out': { level: 'warn', linesPerSecond: STATE_CHANGE_LINES_PER_SECOND, meaning: 'events over their limit of lines per second, or lines dropped because the output pipe was full' }
} as const satisfies Readonly<Record<string, EventDescription>>

export type GatewayEvent = keyof typeof gatewayEvents
