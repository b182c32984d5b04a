/** cbor-x without its search for a native addon, which loads the engine's module loader and finds nothing in a bundle. */
export * from 'cbor-x/encode'
