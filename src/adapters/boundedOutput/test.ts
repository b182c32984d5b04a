import { closeSync, openSync, readSync, rmSync, mkdtempSync } from 'node:fs'
import { spawnSync } from 'node:child_process'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterAll, describe, expect, test } from 'vitest'
import { createBoundedOutput } from './index.js'
import { waitFor } from '../../../test/_lib/waitFor.js'

const folders: string[] = []
const descriptors: number[] = []

// Closed only at the end: a reused descriptor number could receive a late write of an earlier test.
afterAll(() => {
  for (const descriptor of descriptors) closeSync(descriptor)
  for (const folder of folders) rmSync(folder, { recursive: true })
})

/** Creates a named pipe and opens both ends, so that nothing reads from it until the test does. */
const createPipe = (): number => {
  const folder = mkdtempSync(join(tmpdir(), 'dotterelspoke-output-'))
  folders.push(folder)
  const path = join(folder, 'pipe')
  spawnSync('mkfifo', [path])
  const descriptor = openSync(path, 'r+')
  descriptors.push(descriptor)
  return descriptor
}

const PIPE_BYTES = 65_536
const LINE_FEED = 10
const LINES = 200

describe('createBoundedOutput', () => {
  // Guards against a process that blocks on a stuck log reader and leaves its callers without answers.
  test('accepts lines immediately while nothing reads them, and counts the dropped ones', async () => {
    const descriptor = createPipe()
    let dropped = 0
    const output = createBoundedOutput({ descriptor, maximumBytes: 1_000, onDropped: (lines) => { dropped += lines } })
    output.write('x'.repeat(900))
    await new Promise((resolve) => { setTimeout(resolve, 20) })
    for (let index = 0; index < LINES; index++) {
      output.write(`${'y'.repeat(999)}\n`)
      if (index % 50 === 0) await new Promise((resolve) => { setTimeout(resolve, 5) })
    }
    const buffer = Buffer.alloc(PIPE_BYTES)
    let read = 0
    await waitFor('every line to be read or counted', () => {
      read += buffer.subarray(0, readSync(descriptor, buffer)).filter((byte) => byte === LINE_FEED).length
      return read + dropped === LINES
    })
    expect(dropped).toBeGreaterThan(0)
  })

  test('writes lines in order', async () => {
    const descriptor = createPipe()
    const output = createBoundedOutput({ descriptor })
    for (let index = 0; index < 100; index++) output.write(`${index}\n`)
    const buffer = Buffer.alloc(PIPE_BYTES)
    await new Promise((resolve) => { setTimeout(resolve, 100) })
    const text = buffer.subarray(0, readSync(descriptor, buffer)).toString()
    expect(text).toBe(Array.from({ length: 100 }, (_, index) => `${index}\n`).join(''))
  })

  // Guards against a line that a timer writes while the process ends, and that ends it as an exception.
  test('leaves out lines after its end', async () => {
    const output = createBoundedOutput({ descriptor: createPipe() })
    const errors: unknown[] = []
    const record = (error: unknown): void => { errors.push(error) }
    process.on('uncaughtException', record)
    output.end('one\n')
    output.write('two\n')
    await new Promise((resolve) => { setTimeout(resolve, 10) })
    process.off('uncaughtException', record)
    expect(errors).toEqual([])
  })
})
