/**
 * Bundles the daemon of the operators' platform and writes a V8 code cache for it.
 * The daemon is one file because loading hundreds of modules takes longer than running
 * them. The code cache exists because compiling that file takes longer than starting
 * the program.
 */
import { fileURLToPath } from 'node:url'
import { build } from 'esbuild'

/** The flags of deploy/system.toml: V8 accepts a code cache only from a process with the same flags. */
const NODE_FLAGS = ['--max-old-space-size=160']

/** Library modules that the daemon does not need, and their replacements; loading each takes some milliseconds of the start on a small VM. */
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
  // The `performance` global loads a dozen built-in modules of Node.js. The daemon reads time from process.hrtime, and lru-cache falls back to Date without it.
  define: { performance: 'undefined' },
  plugins: [replaceModules]
})

const rehearsalFile = 'target/rehearsal.mjs'

await bundleDaemon('platform/boot.ts', 'target/gateway.cjs')
await bundleDaemon('platform/main.ts', 'target/program.cjs')
await build({ entryPoints: ['platform/standIn/rehearseDaemon/index.ts'], bundle: true, platform: 'node', target: 'node20', format: 'esm', outfile: rehearsalFile })

const { rehearseDaemon } = await import(`../${rehearsalFile}`)
await rehearseDaemon([...NODE_FLAGS, 'scripts/bundle/writeCode.cjs'])
