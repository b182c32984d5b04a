/**
 * Bundles the platform's daemon: one file, since loading hundreds of modules
 * costs more than running them, with the engine's compiled code beside it, since
 * compiling the file costs more than starting the program.
 */
import { fileURLToPath } from 'node:url'
import { build } from 'esbuild'

/** Those of the deploy file: the engine takes compiled code only from a process with the same flags. */
const ENGINE_FLAGS = ['--max-old-space-size=160']

/** Modules of libraries that the daemon never calls, and what stands in for them; each costs a start on a small VM some milliseconds. */
const REPLACED_MODULES = [
  { filter: /^undici$/, file: 'undici.mjs' },
  { filter: /\/client-h2(\.js)?$/, file: 'http2Client.cjs' },
  { filter: /\/pushgateway$/, file: 'pushgateway.cjs' },
  { filter: /^\.\/lib\/cluster$/, file: 'cluster.cjs' },
  { filter: /^cbor-x$/, file: 'cbor.mjs' },
  { filter: /^node:assert$/, file: 'assert.cjs' },
  { filter: /^@dabh\/diagnostics$/, file: 'diagnostics.cjs' },
  { filter: /^@colors\/colors\/safe$/, file: 'colors.cjs' }
]

const replaceModules = {
  name: 'replace-modules',
  setup: (bundler) => {
    for (const { filter, file } of REPLACED_MODULES) {
      const path = fileURLToPath(new URL(`./bundle/${file}`, import.meta.url))
      bundler.onResolve({ filter }, () => ({ path }))
    }
  }
}

const bundleDaemon = (entryPoint, outfile) => build({
  entryPoints: [entryPoint],
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minify: true,
  outfile,
  // The global loads a dozen of the engine's modules; the daemon tells time by process.hrtime, and lru-cache by Date without it.
  define: { performance: 'undefined' },
  plugins: [replaceModules]
})

const rehearsal = 'target/rehearsal.mjs'

await bundleDaemon('platform/boot.ts', 'target/gateway.cjs')
await bundleDaemon('platform/main.ts', 'target/program.cjs')
await build({ entryPoints: ['platform/standIn/rehearseDaemon/index.ts'], bundle: true, platform: 'node', target: 'node20', format: 'esm', outfile: rehearsal })

const { rehearseDaemon } = await import(`../${rehearsal}`)
await rehearseDaemon([...ENGINE_FLAGS, 'scripts/bundle/writeCode.cjs'])
