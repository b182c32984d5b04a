/** Exports cbor-x without its look-up of a native addon, which loads the module loader of Node.js and finds no addon in a bundle. */
export * from 'cbor-x/encode'
