/** Bundles the platform's daemon into one file: loading hundreds of modules costs more than running them. */
import { build } from 'esbuild'

await build({
  entryPoints: ['platform/main.ts'],
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  minifySyntax: true,
  outfile: 'target/gateway.mjs',
  // cbor-x tries this native addon and does without it.
  external: ['cbor-extract'],
  banner: { js: "import { createRequire as createRequireOfBundle } from 'node:module'; const require = createRequireOfBundle(import.meta.url);" }
})
