/**
 * Names of the metrics that a node exports. Services record values through
 * `Metrics`; an adapter exposes them as Prometheus metrics.
 */

export type CounterName =
  | 'requests_accepted' | 'requests_finished' | 'attempts' | 'retries'
  | 'prompt_tokens' | 'completion_tokens' | 'platform_calls' | 'peer_sent_bytes'
  | 'claims' | 'directory_lookups' | 'load_probes'
  | 'gateway_requests' | 'gateway_sends' | 'gateway_repeats' | 'gateway_prompt_copies' | 'gateway_backoffs' | 'gateway_requests_unanswered' | 'gateway_callers_left' | 'gateway_relays' | 'gateway_answers_paused' | 'gateway_answers_ended_unread' | 'gateway_waits' | 'gateway_refusals' | 'gateway_not_run_answers' | 'gateway_streams_taken_up' | 'gateway_server_ends' | 'gateway_quarantine' | 'contained_errors' | 'log_lines_left_out'

export type HistogramName = 'first_token_seconds' | 'between_tokens_seconds' | 'queue_wait_seconds' | 'request_duration_seconds'
  | 'gateway_first_byte_seconds' | 'gateway_duration_seconds' | 'gateway_read_delay_seconds'

export type GaugeName =
  | 'requests_open' | 'requests_oldest_open_seconds' | 'requests_unaccounted' | 'configuration_generation' | 'members' | 'peers_reach'
  | 'gateway_requests_open' | 'gateway_retry_requests' | 'gateway_retry_sends' | 'gateway_retry_constant_share' | 'gateway_retry_age_seconds' | 'gateway_stream_versions_held' | 'gateway_quarantined_parts' | 'gateway_server_ends_held' | 'gateway_held_bytes' | 'load_own_requests' | 'load_sum_requests' | 'load_sum_age_seconds' | 'backend_server_unread_tokens' | 'backend_server_reading_ms_per_token' | 'configuration_version' | 'configuration_confirmed_age_seconds' | 'instances'
  | 'backend_server_in_flight' | 'backend_server_ejected' | 'backend_server_leaving' | 'backend_server_unreachable' | 'queue_length' | 'accounts_over_share' | 'load_skew'

export type MetricLabels = Readonly<Record<string, string>>

export type GaugeReading = { readonly value: number, readonly labels?: MetricLabels }

export type Metrics = {
  readonly count: (name: CounterName, labels?: MetricLabels, by?: number) => void
  /** Records a duration in seconds. */
  readonly observe: (name: HistogramName, seconds: number, labels?: MetricLabels) => void
  /** Sets the function that reads a gauge on each scrape. */
  readonly readGauge: (name: GaugeName, read: () => readonly GaugeReading[]) => void
}
