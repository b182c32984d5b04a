/**
 * Runs a build of an earlier release beside this one and checks that they are
 * compatible: as routers, as gateways, and that this build reads the stored data of
 * the earlier one. Run `npm ci` in both folders first, which also builds.
 *
 *   node scripts/checkUpgrade.mjs FOLDER-OF-THE-EARLIER-RELEASE
 */
import { resolve } from 'node:path'
import { fileURLToPath } from 'node:url'
import { checkGateways } from './upgrade/checkGateways.mjs'
import { checkRouters } from './upgrade/checkRouters.mjs'
import { endProcesses } from './upgrade/processes.mjs'

const [earlierFolder] = process.argv.slice(2)
if (earlierFolder === undefined) {
  console.error('usage: node scripts/checkUpgrade.mjs FOLDER-OF-THE-EARLIER-RELEASE')
  process.exit(2)
}

const builds = { old: resolve(earlierFolder), new: fileURLToPath(new URL('..', import.meta.url)) }
const results = []
const check = (name, hasPassed, detail = '') => {
  results.push(hasPassed)
  console.log(`${hasPassed ? 'holds' : 'FAILS'}: ${name}${detail === '' ? '' : ` (${detail})`}`)
}

try {
  await checkRouters(builds, check)
  await checkGateways(builds, check)
} finally {
  await endProcesses()
}
const failed = results.filter((hasPassed) => !hasPassed).length
console.log(`${results.length - failed} passed, ${failed} failed`)
process.exit(failed === 0 ? 0 : 1)
