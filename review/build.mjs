/** Bundles the project's own stand-in of the platform's store for the scripts of the review. */
import { build } from 'esbuild'

await build({
  entryPoints: ['platform/standIn/createStoreServer/index.ts'],
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  outfile: 'target/review/createStoreServer.mjs'
})
