/** Runs the scenario of a case: writes what happened to `record.txt`, and exits as review scripts do. */
import { writeFileSync } from 'node:fs'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'

const LIMIT_MS = 110_000

export const isTroubled = process.env.TROUBLE !== '0'

export const wait = (ms) => new Promise((resolve) => { setTimeout(resolve, ms) })

/**
 * Plays a scenario.
 *
 * @param url - `import.meta.url` of the case.
 * @param play - Gets `write(line)` and `onClose(close)`; resolves with the lines that tell how the rule was broken.
 */
export const runScenario = async (url, play) => {
  const path = join(dirname(fileURLToPath(url)), 'record.txt')
  const beganAt = performance.now()
  const lines = [`TROUBLE=${isTroubled ? 1 : 0}`]
  const closers = []
  const write = (line) => { lines.push(`${((performance.now() - beganAt) / 1_000).toFixed(3)} ${line}`) }

  const end = async (code, verdict) => {
    lines.push(verdict)
    for (const close of closers.reverse()) await close().catch((error) => lines.push(`not closed: ${error.message}`))
    writeFileSync(path, lines.join('\n') + '\n')
    console.log(verdict)
    process.exit(code)
  }

  const limit = setTimeout(() => end(2, 'could not run: out of time'), LIMIT_MS)
  try {
    const broken = await play({ write, onClose: (close) => { closers.push(close) } })
    clearTimeout(limit)
    for (const line of broken.slice(0, 20)) lines.push(line)
    await end(broken.length > 0 ? 1 : 0, broken.length > 0 ? `broken ${broken.length} times: ${broken[0]}` : 'held')
  } catch (error) {
    await end(2, `could not run: ${error.stack}`)
  }
}
