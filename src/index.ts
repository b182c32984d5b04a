/** Public entry point of the library. */
export * from './kernel/index.js'
export type * from './types/index.js'
