import { expect, test } from 'vitest'
import { createAnswerFlow } from './createAnswerFlow.js'

const PIECES = 100_000

/** A flow whose listener pauses at each piece, and a gate behind which `arrive` happens at the next read. */
const start = (arrive: (push: (text: string) => void, end: () => void) => void) => {
  const seen: string[] = []
  let isRead = false
  const readOn = (): void => {
    if (isRead) return
    isRead = true
    arrive(push, flow.end)
  }
  const flow = createAnswerFlow({
    onData: (bytes) => {
      seen.push(Buffer.from(bytes).toString())
      flow.pause()
    },
    onEnd: () => { seen.push('end') }
  }, () => ({ close: () => {}, open: () => {}, readOn }), (error) => { seen.push(String(error)) })
  const push = (text: string): void => flow.push(Buffer.from(text))
  const resume = async (): Promise<void> => {
    flow.resume()
    await new Promise((resolve) => { setImmediate(resolve) })
  }
  return { flow, seen, push, resume }
}

// An answer whose last bytes and end are read at once, when it is read on, must not end before them: its caller would take the part for the whole.
test('holds the end back with the bytes before it when reading on pauses the answer again', async () => {
  const { seen, push, resume } = start((next, end) => {
    next('b')
    next('c')
    end()
  })
  push('a')
  await resume()
  expect(seen).toEqual(['a', 'b'])
  await resume()
  await resume()
  expect(seen).toEqual(['a', 'b', 'c', 'end'])
})

// An object for each piece of one byte takes many times the memory that is counted.
test('delivers what was kept in one piece', async () => {
  const { flow, seen, push, resume } = start(() => {})
  push('a')
  for (let piece = 0; piece < PIECES; piece++) push('b')
  expect(flow.countBytes()).toBe(PIECES)
  await resume()
  expect(seen.map(({ length }) => length)).toEqual([1, PIECES])
})
