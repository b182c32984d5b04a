/** Runs a case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
import { createRecord } from './record.mjs'
import { join } from 'node:path'

const LIMIT_MS = 110_000

/** `play` gets the record and whether there is a disruption; it resolves with whether the rule was broken. */
export const main = async (folder, play) => {
  const record = createRecord(join(folder, 'record.txt'))
  const finish = (code) => {
    record.save()
    process.exit(code)
  }
  setTimeout(() => {
    record.tell('the case could not run: it took too long')
    finish(2)
  }, LIMIT_MS).unref()
  try {
    const isBroken = await play({ record, hasTrouble: process.env.TROUBLE !== '0' })
    finish(isBroken ? 1 : 0)
  } catch (error) {
    record.tell(`the case could not run: ${error.stack}`)
    finish(2)
  }
}
