/** Bundles the platform's daemon into one file: loading hundreds of modules costs more than running them. */
import { fileURLToPath } from 'node:url'
import { build } from 'esbuild'

const undiciParts = fileURLToPath(new URL('./bundle/undici.mjs', import.meta.url))

await build({
  entryPoints: ['platform/main.ts'],
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  minify: true,
  outfile: 'target/gateway.mjs',
  // cbor-x does without this native addon, whose search takes longer than it saves.
  alias: { 'cbor-extract': './scripts/bundle/absent.cjs' },
  plugins: [{ name: 'undici-parts', setup: (bundler) => { bundler.onResolve({ filter: /^undici$/ }, () => ({ path: undiciParts })) } }],
  banner: { js: "import { createRequire as createRequireOfBundle } from 'node:module'; const require = createRequireOfBundle(import.meta.url);" }
})
