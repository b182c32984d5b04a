import { createServer } from 'node:http'
import { afterEach, expect, test } from 'vitest'
import { startFleet } from './startFleet.js'
import type { Fleet } from './startFleet.js'

let fleet: Fleet | undefined

afterEach(async () => { await fleet?.stop() })

// The port of a killed engine may be reused by another process, whose answer would be read as the engine's journal.
test('readJournal rejects when its process has exited and another one has taken its port', async () => {
  fleet = await startFleet({ routers: 0, services: 1, engines: 0 })
  const [service] = fleet.services
  const { hostname, port } = new URL(String(service!.process.ready['control']))
  await service!.process.kill()
  const successor = createServer((_request, response) => { response.end('{}') })
  await new Promise<void>((resolve) => { successor.listen(Number(port), hostname, resolve) })
  await expect(service!.readJournal()).rejects.toThrow('has ended')
  successor.close()
})
