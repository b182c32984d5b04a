import { expect, test } from 'vitest'
import { sendThroughGateway } from '../../examples/platform/sendThroughGateway.js'

test('the example sends both turns of a chat to the same engine', async () => {
  const [first, second] = await sendThroughGateway()
  expect(first).toMatchObject({ status: 200, events: 5 })
  expect(second).toEqual(first)
})
