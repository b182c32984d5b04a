/** Processes for integration tests; the benches start theirs the same way. */
export * from '../../src/bench/_lib/startProcess.js'
