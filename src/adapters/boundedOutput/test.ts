import { closeSync, openSync, readSync, rmSync, mkdtempSync } from 'node:fs'
import { spawnSync } from 'node:child_process'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, describe, expect, test } from 'vitest'
import { createBoundedOutput } from './index.js'
import { waitFor } from '../../../test/_lib/waitFor.js'

const folders: string[] = []

afterEach(() => { for (const folder of folders.splice(0)) rmSync(folder, { recursive: true }) })

/** A pipe with a name; both ends are opened here, so nothing reads until the test does. */
const createPipe = (): number => {
  const folder = mkdtempSync(join(tmpdir(), 'dotterelspoke-output-'))
  folders.push(folder)
  const path = join(folder, 'pipe')
  spawnSync('mkfifo', [path])
  return openSync(path, 'r+')
}

const PIPE_BYTES = 65_536

describe('createBoundedOutput', () => {
  // The reader of the log stops reading. A process that waited for it would leave
  // its callers without answers; instead lines are dropped and counted.
  test('takes lines at once while nobody reads, and counts what it drops', async () => {
    const descriptor = createPipe()
    let dropped = 0
    const output = createBoundedOutput({ descriptor, maximumBytes: 1_000, onDropped: (lines) => { dropped += lines } })
    output.write('x'.repeat(900))
    await new Promise((resolve) => { setTimeout(resolve, 20) })
    for (let index = 0; index < 200; index++) {
      output.write(`${'y'.repeat(999)}\n`)
      if (index % 50 === 0) await new Promise((resolve) => { setTimeout(resolve, 5) })
    }
    const buffer = Buffer.alloc(PIPE_BYTES)
    await waitFor('the dropped lines to be counted', () => {
      readSync(descriptor, buffer)
      return dropped > 0
    })
    expect(dropped).toBeGreaterThan(50)
    closeSync(descriptor)
  })

  test('writes lines in their order', async () => {
    const descriptor = createPipe()
    const output = createBoundedOutput({ descriptor })
    for (let index = 0; index < 100; index++) output.write(`${index}\n`)
    const buffer = Buffer.alloc(PIPE_BYTES)
    await new Promise((resolve) => { setTimeout(resolve, 100) })
    const text = buffer.subarray(0, readSync(descriptor, buffer)).toString()
    expect(text).toBe(Array.from({ length: 100 }, (_, index) => `${index}\n`).join(''))
    closeSync(descriptor)
  })
})
