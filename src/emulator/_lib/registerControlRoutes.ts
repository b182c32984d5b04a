/** Control routes of an emulated server: tests turn faults on and off and read what it has done. */
import fastify, { type FastifyInstance } from 'fastify'
import { faultCommandSchema, type FaultSwitches } from '../createFaultSwitches/index.js'

export type ControlOptions<Name extends string> = {
  readonly faults: FaultSwitches<Name>
  /** Further read-only routes: for each path, a function that builds the answer to `GET`. */
  readonly pages: Readonly<Record<string, () => unknown>>
}

/**
 * Adds `POST`, `GET` and `DELETE /faults` and the given pages to a server.
 *
 * @param server - Server that the routes are added to.
 * @param options - The fault switches and the pages.
 *
 * @example
 * registerControlRoutes(server, { faults, pages: { '/calls': () => counts } })
 */
export const registerControlRoutes = <Name extends string>(server: FastifyInstance, { faults, pages }: ControlOptions<Name>): void => {
  server.post('/faults', async (request, reply) => {
    const command = faultCommandSchema.safeParse(request.body)
    if (!command.success) return reply.code(400).send({ message: command.error.message })
    if (!faults.apply(command.data)) return reply.code(400).send({ message: `there is no fault ${command.data.fault}` })
    return faults.settings()
  })
  server.get('/faults', async () => faults.settings())
  server.delete('/faults', async () => {
    faults.clear()
    return faults.settings()
  })
  for (const [path, build] of Object.entries(pages)) server.get(path, async () => build())
}

/**
 * Creates a separate server with the control routes alone.
 *
 * It stays reachable while the emulated server refuses connections at its own
 * port, so that this fault can be turned off again.
 *
 * @param options - The fault switches and the pages.
 * @returns A server that does not listen yet.
 *
 * @example
 * const control = createControlServer({ faults, pages: {} })
 */
export const createControlServer = <Name extends string>(options: ControlOptions<Name>): FastifyInstance => {
  const server = fastify({ forceCloseConnections: true })
  registerControlRoutes(server, options)
  return server
}
