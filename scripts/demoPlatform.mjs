/** Bundles and runs examples/platform, the example for the operators' platform. */
import { build } from 'esbuild'

await build({
  entryPoints: ['examples/platform/main.ts'],
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  outfile: 'target/demoPlatform.mjs',
  packages: 'external'
})
await import('../target/demoPlatform.mjs')
