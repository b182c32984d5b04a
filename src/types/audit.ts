/**
 * Entries of the audit trail: who requested which change of the configuration,
 * when, and with which outcome.
 */

/**
 * `attempted` is written before a change is tried, so that every accepted change
 * has an entry. If the operator's machine stops in between, it remains until
 * the next change records the outcome.
 */
export type AuditOutcome = 'attempted' | 'accepted' | 'refused' | 'unknown'

export type AuditEntry = {
  readonly applyId: string
  readonly operator: string
  /** The command that the operator ran, for example `sheet apply`. */
  readonly action: string
  /** Wall-clock milliseconds since 1970, on the operator's machine. */
  readonly at: number
  /** Generation on which the change was planned; 0 for none. */
  readonly generationFrom: number
  /** Generation that the change became, or would have become. */
  readonly generationTo: number
  readonly sheetHash: string
  readonly changes: readonly AuditChange[]
  /** Number of all changes, including those that are not listed. */
  readonly changeCount: number
  readonly outcome: AuditOutcome
  /** Why it was refused, or why its outcome is unknown. */
  readonly reason?: string
}

export type AuditChange = {
  readonly record: string
  readonly name: string
  readonly before?: string
  readonly after?: string
}
