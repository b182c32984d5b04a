/**
 * Outcomes as values. An operation that can fail returns a `Result`; its error
 * is a tagged union. Exceptions are left for broken invariants.
 */

export type Success<Value> = { readonly ok: true, readonly value: Value }

export type Failure<Problem> = { readonly ok: false, readonly error: Problem }

export type Result<Value, Problem> = Success<Value> | Failure<Problem>
