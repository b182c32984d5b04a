/** Hash functions that give the same result on every node. */
export * from './hashText/index.js'
export * from './shortenId/index.js'
