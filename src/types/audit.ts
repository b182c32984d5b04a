/**
 * The audit trail of changes to the configuration: who asked for what, when,
 * and what became of it.
 */

/**
 * `attempted` is written before a change is tried, so that no accepted change
 * lacks its entry; it stays when the operator's machine stopped in between,
 * until the next change settles it.
 */
export type AuditOutcome = 'attempted' | 'accepted' | 'refused' | 'unknown'

export type AuditEntry = {
  readonly applyId: string
  readonly operator: string
  /** What the operator ran, for example `sheet apply`. */
  readonly action: string
  /** Wall-clock milliseconds since 1970, on the operator's machine. */
  readonly at: number
  /** Generation that the change was planned against; 0 for none. */
  readonly generationFrom: number
  /** Generation that the change became, or would have become. */
  readonly generationTo: number
  readonly sheetHash: string
  readonly changes: readonly AuditChange[]
  /** All changes, when more than the listed ones. */
  readonly changeCount: number
  readonly outcome: AuditOutcome
  /** Why it was refused, or what is unknown of it. */
  readonly reason?: string
}

export type AuditChange = {
  readonly record: string
  readonly name: string
  readonly before?: string
  readonly after?: string
}
