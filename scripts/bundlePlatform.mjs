/**
 * Bundles the platform's daemon: one file, since loading hundreds of modules
 * costs more than running them, with the engine's compiled code beside it, since
 * compiling the file costs more than starting the program.
 */
import { spawnSync } from 'node:child_process'
import { copyFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { build } from 'esbuild'

const undiciParts = fileURLToPath(new URL('./bundle/undici.mjs', import.meta.url))

await build({
  entryPoints: ['platform/main.ts'],
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minify: true,
  outfile: 'target/program.cjs',
  // cbor-x does without this native addon, whose search takes longer than it saves.
  alias: { 'cbor-extract': './scripts/bundle/absent.cjs' },
  plugins: [{ name: 'undici-parts', setup: (bundler) => { bundler.onResolve({ filter: /^undici$/ }, () => ({ path: undiciParts })) } }]
})
copyFileSync('scripts/bundle/gateway.cjs', 'target/gateway.cjs')

// The engine takes compiled code only from a process with the same flags.
const { status } = spawnSync(process.execPath, ['--max-old-space-size=160', 'scripts/bundle/writeCode.cjs'], { stdio: 'inherit' })
if (status !== 0) throw new Error(`the compiled code could not be written: status ${status}`)
