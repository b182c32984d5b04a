/** Milliseconds of silence after which a node is held dead, and what it told of its load is forgotten. */
export const DEAD_AFTER_MS = 3_000
