/** Starts processes for integration tests, with the same helpers as the benchmarks. */
export * from '../../src/bench/_lib/startProcess.js'
