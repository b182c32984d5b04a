import { expect, test } from 'vitest'
import { createFreshRead } from './createFreshRead.js'

const createSource = () => {
  const finishes: (() => void)[] = []
  let count = 0
  const read = (): Promise<number> => {
    count += 1
    const own = count
    return new Promise((resolve) => { finishes.push(() => resolve(own)) })
  }
  const finish = async (): Promise<void> => {
    finishes.shift()!()
    await new Promise((resolve) => { setImmediate(resolve) })
  }
  return { read, finish, count: () => count }
}

// A read that began before the question may lack what was written since.
test('gives no caller a read that began before it asked, and shares the next one', async () => {
  const source = createSource()
  const readFresh = createFreshRead(source.read)
  const first = readFresh()
  const second = readFresh()
  const third = readFresh()
  await source.finish()
  expect(source.count()).toBe(2)
  await source.finish()
  expect(await Promise.all([first, second, third])).toEqual([1, 2, 2])
  const fourth = readFresh()
  await source.finish()
  expect(await fourth).toBe(3)
})

// After one read that rejected, all that asked during it and later got its error for ever.
test('begins the next read after one that rejected', async () => {
  let reads = 0
  const readFresh = createFreshRead(async () => {
    reads += 1
    await new Promise((resolve) => { setImmediate(resolve) })
    if (reads === 1) throw new Error('unexpected')
    return reads
  })
  expect(await Promise.allSettled([readFresh(), readFresh()])).toEqual([{ status: 'rejected', reason: new Error('unexpected') }, { status: 'fulfilled', value: 2 }])
  expect(await readFresh()).toBe(3)
})
