/** The routes by which a test steers a stand-in and reads what it did. */
import fastify, { type FastifyInstance } from 'fastify'
import { faultOrderSchema, type FaultSwitches } from '../createFaultSwitches/index.js'

export type ControlOptions<Name extends string> = {
  readonly faults: FaultSwitches<Name>
  /** Further read-only pages, by path: what each answers to `GET`. */
  readonly pages: Readonly<Record<string, () => unknown>>
}

/**
 * Adds `POST`, `GET` and `DELETE /faults` and the given pages to a server.
 *
 * @param server - Where the routes go.
 * @param options - The switches and the pages.
 *
 * @example
 * registerControlRoutes(server, { faults, pages: { '/calls': () => counts } })
 */
export const registerControlRoutes = <Name extends string>(server: FastifyInstance, { faults, pages }: ControlOptions<Name>): void => {
  server.post('/faults', async (request, reply) => {
    const order = faultOrderSchema.safeParse(request.body)
    if (!order.success) return reply.code(400).send({ message: order.error.message })
    if (!faults.apply(order.data)) return reply.code(400).send({ message: `there is no fault ${order.data.fault}` })
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
 * Creates a second server with the control routes alone.
 *
 * A stand-in that refuses connections could not be told to stop doing so
 * through its own port; this one stays reachable.
 *
 * @param options - The switches and the pages.
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
