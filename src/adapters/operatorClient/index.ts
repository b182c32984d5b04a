/** Reads the status of routers from their operator ports. */
import { Agent, request } from 'undici'
import { z } from 'zod'
import { failure, success } from '../../kernel/index.js'
import type { NodeStatus, Result } from '../../types/index.js'

export type OperatorClient = {
  /** `url` is the origin of a router's operator port. */
  readonly readStatus: (url: string) => Promise<Result<NodeStatus, string>>
  readonly close: () => Promise<void>
}

export type OperatorClientOptions = {
  readonly operatorToken: string
  readonly timeoutMs: number
}

const MAXIMUM_BODY_BYTES = 8_000_000

const member = z.looseObject({
  nodeId: z.string(),
  incarnation: z.number(),
  address: z.object({ host: z.string(), port: z.number() }),
  availabilityZone: z.string(),
  state: z.enum(['live', 'suspect', 'leaving', 'dead']),
  generation: z.number()
})

const backendServer = z.looseObject({ backendServer: z.string(), state: z.string(), inFlight: z.number(), ownInFlight: z.number() })

/** The fields that the commands rely on; a router of another version may send more. */
const status = z.looseObject({
  nodeId: z.string(),
  availabilityZone: z.string(),
  generation: z.number(),
  pending: z.object({ generation: z.number(), reason: z.string() }).optional(),
  members: z.array(member),
  backendServers: z.array(backendServer).default([])
})

/**
 * Creates a client for the operator ports of routers.
 *
 * @param options - The operator token, and the timeout of one call in milliseconds.
 * @returns The client.
 *
 * @example
 * const client = createOperatorClient({ operatorToken: 'secret', timeoutMs: 2000 })
 * await client.readStatus('http://10.0.1.2:9000')
 */
export const createOperatorClient = ({ operatorToken, timeoutMs }: OperatorClientOptions): OperatorClient => {
  const dispatcher = new Agent({ connect: { timeout: timeoutMs }, maxResponseSize: MAXIMUM_BODY_BYTES })

  return {
    readStatus: async (url) => {
      try {
        const reply = await request(new URL('/status', url), {
          dispatcher,
          headers: { authorization: `Bearer ${operatorToken}` },
          signal: AbortSignal.timeout(timeoutMs)
        })
        const text = await reply.body.text()
        if (reply.statusCode !== 200) return failure(describeStatus(reply.statusCode))
        const parsed = status.safeParse(JSON.parse(text))
        return parsed.success ? success(parsed.data as unknown as NodeStatus) : failure('answered with something else than a router status')
      } catch (error) {
        return failure(error instanceof Error ? describeError(error) : String(error))
      }
    },
    close: () => dispatcher.destroy()
  }
}

const describeStatus = (code: number): string => code === 401 ? 'the operator token is missing or wrong' : `answered with status ${code}`

const describeError = (error: Error): string => {
  if (error.name === 'TimeoutError') return 'no answer in time'
  return 'code' in error && typeof error.code === 'string' ? error.code : error.message
}
