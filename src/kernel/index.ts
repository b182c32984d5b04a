/** The kernel and the small helpers that every layer uses. */
export * from './createKernel/index.js'
export * from './failure/index.js'
export * from './success/index.js'
