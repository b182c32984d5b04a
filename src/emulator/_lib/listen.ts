/** Starts and stops the listeners of an emulated server. */
import type { FastifyInstance } from 'fastify'

export type ListenAddress = { readonly host?: string | undefined, readonly port?: number | undefined }

/** An emulated server that is listening. */
export type EmulatedServer = {
  /** Origin of the emulated routes. */
  readonly url: string
  /** Origin of the server that has the control routes only, which no fault affects. */
  readonly controlUrl: string
  readonly close: () => Promise<void>
}

const LOOPBACK = '127.0.0.1'

/**
 * Starts the server and its control server.
 *
 * @param server - The emulated server.
 * @param control - Its control server, which listens on an ephemeral port of its own.
 * @param address - Address of the emulated server; loopback and an ephemeral port by default.
 * @returns Both origins, and a function that closes both servers.
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
