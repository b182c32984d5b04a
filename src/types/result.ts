/**
 * Outcomes as values: an operation that can fail returns a `Result` whose error
 * is a tagged union. Exceptions are reserved for broken invariants.
 */

export type Success<Value> = { readonly ok: true, readonly value: Value }

export type Failure<Problem> = { readonly ok: false, readonly error: Problem }

export type Result<Value, Problem> = Success<Value> | Failure<Problem>
