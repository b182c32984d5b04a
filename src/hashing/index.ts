/** Hashes that every node computes alike. */
export * from './hashText/index.js'
