/** Starting and stopping the listeners of a stand-in. */
import type { FastifyInstance } from 'fastify'

export type ListenAddress = { readonly host?: string | undefined, readonly port?: number | undefined }

/** A stand-in that listens. */
export type EmulatedServer = {
  /** Origin of the contract's routes. */
  readonly url: string
  /** Origin of the control routes alone, which no fault touches. */
  readonly controlUrl: string
  readonly close: () => Promise<void>
}

const LOOPBACK = '127.0.0.1'

/**
 * Lets the server and its control server listen.
 *
 * @param server - The stand-in.
 * @param control - Its control server, which gets a port of its own.
 * @param address - Where the stand-in listens; loopback and an ephemeral port by default.
 * @returns Both origins, and how to close both.
 *
 * @example
 * const { url } = await listen(server, control, { port: 0 })
 */
export const listen = async (server: FastifyInstance, control: FastifyInstance, { host = LOOPBACK, port = 0 }: ListenAddress): Promise<EmulatedServer> => {
  const url = await server.listen({ host, port })
  const controlUrl = await control.listen({ host, port: 0 })
  return {
    url,
    controlUrl,
    close: async () => {
      await Promise.all([server.close(), control.close()])
    }
  }
}
