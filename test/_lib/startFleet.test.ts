import { createServer } from 'node:http'
import { afterEach, expect, test } from 'vitest'
import { startFleet } from './startFleet.js'
import type { Fleet } from './startFleet.js'

let fleet: Fleet | undefined

afterEach(async () => { await fleet?.stop() })

// The port of a killed engine goes to another process, whose answer would pass for the engine's journal.
test('no journal is read from a process that took the port of an ended one', async () => {
  fleet = await startFleet({ routers: 0, services: 1, engines: 0 })
  const [service] = fleet.services
  const { hostname, port } = new URL(String(service!.process.ready['control']))
  await service!.process.kill()
  const successor = createServer((_request, response) => { response.end('{}') })
  await new Promise<void>((resolve) => { successor.listen(Number(port), hostname, resolve) })
  await expect(service!.readJournal()).rejects.toThrow('has ended')
  successor.close()
})
