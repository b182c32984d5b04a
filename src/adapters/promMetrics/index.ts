/**
 * Prometheus metrics of a node, written with prom-client. The tables have the
 * help text and the labels of each; docs/OPERATING.md explains how to act on them.
 */
import { collectDefaultMetrics, Counter, Gauge, Histogram, Registry } from 'prom-client'
import type { CounterName, GaugeName, GaugeReading, HistogramName, MetricLabels, Metrics } from '../../types/index.js'

type MetricText = { readonly help: string, readonly labels: readonly string[] }

const METRIC_PREFIX = 'dotterelspoke_'

const counterTexts: Readonly<Record<CounterName, MetricText>> = {
  requests_accepted: { help: 'Requests accepted from callers', labels: [] },
  requests_finished: { help: 'Accepted requests by final outcome and reason', labels: ['outcome', 'reason'] },
  attempts: { help: 'Attempts at backend servers by outcome', labels: ['backend_server', 'outcome'] },
  retries: { help: 'What was decided after a failed attempt', labels: ['decision'] },
  prompt_tokens: { help: 'Prompt tokens by whether the prefix cache held them', labels: ['cache'] },
  completion_tokens: { help: 'Tokens generated', labels: [] },
  platform_calls: { help: 'Calls to the platform by kind and outcome', labels: ['call', 'outcome'] },
  peer_sent_bytes: { help: 'Bytes sent to peers by kind of message', labels: ['kind'] },
  claims: { help: 'Claims of idempotency keys by outcome', labels: ['outcome'] },
  directory_lookups: { help: 'Look-ups of where a chat was last served', labels: ['outcome'] },
  load_probes: { help: 'Reads of load reports by outcome', labels: ['outcome'] },
  gateway_requests: { help: 'Requests of callers by repeat policy of their route, final outcome and reason', labels: ['policy', 'outcome', 'reason'] },
  gateway_sends: { help: 'Sends to backend servers by outcome', labels: ['outcome'] },
  gateway_repeats: { help: 'Sends beyond the first of a request, by whether the retry budget granted them', labels: ['granted'] },
  gateway_prompt_copies: { help: 'Sends that asked for a copy of the prompt from another backend server', labels: [] },
  gateway_relays: { help: 'Requests sent to a peer because this node does not reach the backend servers', labels: [] },
  gateway_waits: { help: 'Requests that waited for a backend server with room, by how the wait ended and by priority', labels: ['outcome', 'priority'] },
  gateway_not_run_answers: { help: 'Final answers that promise that the request did not run, by status and by whether it may have run', labels: ['status', 'mayHaveRun'] },
  gateway_refusals: { help: 'Requests refused because no backend server had room, by reason and priority', labels: ['reason', 'priority'] },
  gateway_streams_taken_up: { help: 'Streams that callers took up again, by how the software version at which they began was known', labels: ['source'] },
  gateway_server_ends: { help: 'Backend servers that ended while requests of this node ran there', labels: ['service'] },
  gateway_quarantine: { help: 'Quarantines of prompt parts on this node, by event', labels: ['event'] },
  gateway_answers_paused: { help: 'Answers whose backend server was paused because the caller reads slowly', labels: [] },
  gateway_answers_ended_unread: { help: 'Connections ended because their callers did not read, by reason', labels: ['reason'] },
  gateway_backoffs: { help: 'Answers in which a backend server asked this node to send nothing for a while', labels: [] },
  gateway_callers_left: { help: 'Requests whose callers left, by whether the request had been sent', labels: ['progress'] },
  gateway_requests_unanswered: { help: 'Requests that arrived on connections which this node had closed', labels: [] },
  contained_errors: { help: 'Unexpected errors that ended one request, one call, one read of a source, one message of a peer or one connection instead of the process, by part', labels: ['part'] },
  log_lines_left_out: { help: 'Log lines left out to keep the volume bounded, by event', labels: ['event'] }
}

const histogramTexts: Readonly<Record<HistogramName, MetricText>> = {
  first_token_seconds: { help: 'Time to the first byte of an answer', labels: [] },
  between_tokens_seconds: { help: 'Time between events of a stream', labels: [] },
  queue_wait_seconds: { help: 'Time that a request waited for its share', labels: [] },
  request_duration_seconds: { help: 'Time from acceptance to the final outcome', labels: ['outcome'] },
  gateway_first_byte_seconds: { help: 'Time from sending a request to the head of its answer, by repeat policy', labels: ['policy'] },
  gateway_duration_seconds: { help: 'Time from a request\'s first byte to its final answer, by repeat policy and outcome', labels: ['policy', 'outcome'] },
  gateway_read_delay_seconds: { help: 'Time for which requests that were read late had lain unread at most', labels: [] }
}

const gaugeTexts: Readonly<Record<GaugeName, MetricText>> = {
  requests_open: { help: 'Accepted requests without a final outcome yet', labels: [] },
  requests_oldest_open_seconds: { help: 'Age of the oldest open request; past the longest deadline it is a lost one', labels: [] },
  requests_unaccounted: { help: 'Accepted requests that fell out of the sum of outcomes; anything but 0 is an alarm', labels: [] },
  configuration_generation: { help: 'Generation of the configuration in force', labels: [] },
  gateway_requests_open: { help: 'Requests of callers without a final answer yet', labels: [] },
  gateway_retry_requests: { help: 'First sends of this node in the window of the retry budget, by service', labels: ['service'] },
  gateway_retry_sends: { help: 'Retries of this node in the window of the retry budget, by service', labels: ['service'] },
  gateway_retry_constant_share: { help: 'Retries in a window that this node takes for its share of the constant of the retry budget, by service', labels: ['service'] },
  gateway_retry_age_seconds: { help: 'Time for which this process has counted its use of the retry budget, by service', labels: ['service'] },
  gateway_quarantined_parts: { help: 'Prompt parts whose requests this node refuses', labels: [] },
  gateway_server_ends_held: { help: 'Ends of backend servers in the last minute that this node keeps for the fleet', labels: [] },
  gateway_stream_versions_held: { help: 'Streams of which this node knows at which software version they began', labels: [] },
  gateway_held_bytes: { help: 'Bytes held for callers and backend servers, by what they are', labels: ['kind'] },
  configuration_version: { help: 'Version of the configuration in force', labels: [] },
  configuration_confirmed_age_seconds: { help: 'Time since the configuration in force was surely the newest; -1 when unknown', labels: [] },
  instances: { help: 'Backend servers by service and state', labels: ['service', 'state'] },
  load_own_requests: { help: 'Requests that this node has in flight at backend servers; the sum over all nodes is the true total', labels: [] },
  load_sum_requests: { help: 'Requests in flight by the fleet\'s last total, by group of backend servers and the node that summed', labels: ['group', 'summed_by'] },
  load_sum_age_seconds: { help: 'Age of the oldest counts in the fleet\'s last total, by group of backend servers', labels: ['group'] },
  backend_server_unread_tokens: { help: 'Prompt tokens that the engine has still to read, estimated for the whole fleet; the twenty highest', labels: ['backend_server'] },
  backend_server_reading_ms_per_token: { help: 'Observed time in which engines read a prompt token, by service', labels: ['service'] },
  peers_reach: { help: 'Peers by whether they reach backend servers, as they last reported', labels: ['reach'] },
  members: { help: 'Routers by state, as this one sees them', labels: ['state'] },
  backend_server_in_flight: { help: 'Estimated requests in flight from the whole fleet', labels: ['backend_server'] },
  backend_server_ejected: { help: '1 while the backend server is ejected', labels: ['backend_server'] },
  backend_server_unreachable: { help: '1 while no connection to the backend server can be made', labels: ['backend_server'] },
  backend_server_leaving: { help: '1 while the backend server is leaving', labels: ['backend_server'] },
  queue_length: { help: 'Requests that wait for their share', labels: [] },
  accounts_over_share: { help: 'Client accounts with waiting requests that use over twice the mean of the others', labels: [] },
  load_skew: { help: 'Highest load over the weighted mean, by service', labels: ['service'] }
}

/**
 * Time between two samples of the event loop's delay, in milliseconds. Each
 * sample wakes the process up, and pauses that callers notice last longer.
 */
const LOOP_DELAY_SAMPLE_MS = 200

/** Seconds; from 1 ms to about two minutes, each bucket twice the one before. */
const DURATION_BUCKETS = Array.from({ length: 18 }, (_, exponent) => 0.001 * 2 ** exponent)

const mapValues = <Key extends string, Text, Value>(texts: Readonly<Record<Key, Text>>, create: (key: Key, text: Text) => Value): Readonly<Record<Key, Value>> =>
  Object.fromEntries(Object.entries(texts).map(([key, text]) => [key, create(key as Key, text as Text)])) as Record<Key, Value>

export type PromMetrics = Metrics & {
  /** All metrics in the Prometheus text format. */
  readonly render: () => Promise<string>
  readonly contentType: string
}

/**
 * Creates the metrics of one node, with a registry of its own.
 *
 * @returns The metrics, and how to render them.
 *
 * @example
 * createPromMetrics().count('requests_accepted')
 */
export const createPromMetrics = (): PromMetrics => {
  const registry = new Registry()
  const registers = [registry]
  collectDefaultMetrics({ register: registry, eventLoopMonitoringPrecision: LOOP_DELAY_SAMPLE_MS })
  const counters = mapValues(counterTexts, (name, { help, labels }) =>
    new Counter({ name: `${METRIC_PREFIX}${name}_total`, help, labelNames: [...labels], registers }))
  const histograms = mapValues(histogramTexts, (name, { help, labels }) =>
    new Histogram({ name: `${METRIC_PREFIX}${name}`, help, labelNames: [...labels], buckets: DURATION_BUCKETS, registers }))
  const readers = new Map<GaugeName, () => readonly GaugeReading[]>()
  mapValues(gaugeTexts, (name, { help, labels }) => new Gauge({
    name: `${METRIC_PREFIX}${name}`,
    help,
    labelNames: [...labels],
    registers,
    collect () {
      this.reset()
      for (const { value, labels: values } of readers.get(name)?.() ?? []) this.set(values ?? {}, value)
    }
  }))
  return {
    count: (name, labels: MetricLabels = {}, by = 1) => counters[name].inc(labels, by),
    observe: (name, seconds, labels: MetricLabels = {}) => histograms[name].observe(labels, seconds),
    readGauge: (name, read) => { readers.set(name, read) },
    render: () => registry.metrics(),
    contentType: registry.contentType
  }
}
