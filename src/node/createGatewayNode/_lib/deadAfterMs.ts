/** Milliseconds without a heartbeat after which a node counts as dead and its reported load is dropped. */
export const DEAD_AFTER_MS = 3_000
