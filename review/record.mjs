/** Writes what a case sent, ran and saw to record.txt, each line with the milliseconds since the start. */
import { writeFileSync } from 'node:fs'

const startedAt = performance.now()

/** Milliseconds since the start of the case. */
export const now = () => performance.now() - startedAt

export const createRecord = (path) => {
  const lines = []
  const note = (text) => { lines.push(`${now().toFixed(1).padStart(9)} ${text}`) }
  return {
    note,
    /** Notes a line and prints it too. */
    tell: (text) => {
      note(text)
      console.log(text)
    },
    save: () => writeFileSync(path, `${lines.join('\n')}\n`)
  }
}

export const pause = (ms) => new Promise((resolve) => { setTimeout(resolve, ms) })
