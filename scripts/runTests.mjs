/**
 * Runs every test and decides whether the run passes. It passes when all tests pass
 * except those listed in KNOWN-RED.txt, which are printed, and nothing has thrown
 * outside of a test: such an error ends a process in production. A listed test that
 * passes fails the run, so that its line is removed from the file.
 */
import { readFileSync, rmSync, existsSync, mkdtempSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { startVitest } from 'vitest/node'

const MAXIMUM_KNOWN_RED = 3

const readKnownRed = () => {
  if (!existsSync('KNOWN-RED.txt')) return []
  return readFileSync('KNOWN-RED.txt', 'utf8')
    .split('\n')
    .filter((line) => line.trim() !== '' && !line.startsWith('#'))
}

const folder = mkdtempSync(join(tmpdir(), 'dotterelspoke-tests-'))
const outputFile = join(folder, 'report.json')
const vitest = await startVitest('test', process.argv.slice(2), {
  run: true,
  watch: false,
  reporters: ['default', 'json'],
  outputFile: { json: outputFile }
})
/** The test runner's own calls between its processes time out on a busy machine; they are no code under test. */
const isOfRunner = (error) => /^\[vitest-worker\]: Timeout calling/.test(error?.message ?? '')
const thrown = vitest.state.getUnhandledErrors().filter((error) => !isOfRunner(error))
await vitest.close()

const report = JSON.parse(readFileSync(outputFile, 'utf8'))
rmSync(folder, { recursive: true })

const knownRed = readKnownRed()
const isKnownRed = (test) => knownRed.some((line) => line.includes(test.fullName))
const tests = report.testResults.flatMap((file) => file.assertionResults)
const failed = tests.filter((test) => test.status === 'failed')
const passed = tests.filter((test) => test.status === 'passed')
const unexpected = failed.filter((test) => !isKnownRed(test))
const passingKnownRed = passed.filter(isKnownRed)
const brokenFiles = report.testResults.filter((file) => file.status === 'failed' && file.assertionResults.every((test) => test.status !== 'failed'))

for (const test of failed.filter(isKnownRed)) console.log(`known red: ${test.fullName}`)
for (const test of unexpected) console.log(`failed: ${test.fullName}`)
for (const test of passingKnownRed) console.log(`listed as known red, but passes: ${test.fullName}`)
for (const file of brokenFiles) console.log(`did not run: ${file.name}: ${file.message}`)
for (const error of thrown) console.log(`thrown outside of a test: ${error?.stack ?? error?.message ?? String(error)}`)
if (knownRed.length > MAXIMUM_KNOWN_RED) console.log(`KNOWN-RED.txt lists more than ${MAXIMUM_KNOWN_RED} tests`)

const hasFailed = unexpected.length > 0 || passingKnownRed.length > 0 || brokenFiles.length > 0 || thrown.length > 0 || passed.length === 0 || knownRed.length > MAXIMUM_KNOWN_RED
console.log(`${passed.length} passed, ${unexpected.length + brokenFiles.length + thrown.length} failed`)
process.exit(hasFailed ? 1 : 0)
