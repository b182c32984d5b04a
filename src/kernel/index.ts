/** The kernel, and small helpers used by every layer. */
export * from './computeSha256/index.js'
export * from './createDeferredCalls/index.js'
export * from './createKernel/index.js'
export * from './failure/index.js'
export * from './formatIsoTime/index.js'
export * from './mapInBatches/index.js'
export * from './parseIsoTime/index.js'
export * from './success/index.js'
