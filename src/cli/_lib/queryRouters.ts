/** Queries the status of every known router, in parallel batches. */
import type { OperatorClient } from '../../adapters/operatorClient/index.js'
import type { RouterAnswer } from '../../decisions/evaluateRollout/index.js'
import { mapInBatches } from '../../kernel/index.js'
import type { NodeStatus, Platform, Vm } from '../../types/index.js'
import type { CommandEnvironment } from './commandEnvironment.js'
import { createRouterClient, type RouterFlags } from './platformSession.js'

export type RouterStatuses = {
  readonly answers: readonly RouterAnswer[]
  readonly statuses: readonly NodeStatus[]
  /** `undefined` if the VM list of the platform could not be read. */
  readonly vms: readonly Vm[] | undefined
}

const MAXIMUM_CONCURRENT_REQUESTS = 32

export const queryRouters = async (environment: CommandEnvironment, flags: RouterFlags, platform: Platform): Promise<RouterStatuses> => {
  const list = await platform.listVms()
  const vms = list.ok ? list.value : undefined
  const urls = findRouterUrls(environment, flags, vms ?? [])
  const client = createRouterClient(environment, flags)
  try {
    return { vms, ...await queryAll(client, urls) }
  } finally {
    await client.close()
  }
}

const queryAll = async (client: OperatorClient, urls: readonly string[]): Promise<Pick<RouterStatuses, 'answers' | 'statuses'>> => {
  const replies = await mapInBatches(urls, MAXIMUM_CONCURRENT_REQUESTS, async (url) => ({ url, status: await client.readStatus(url) }))
  return {
    answers: replies.map(({ url, status }) => status.ok ? { kind: 'answered', url, report: status.value } : { kind: 'unreachable', url, message: status.error }),
    statuses: replies.flatMap(({ status }) => status.ok ? [status.value] : [])
  }
}

/** Returns the router URLs that were given; without any, one for each router of the VM list, at the operator port that all routers share. */
export const findRouterUrls = (environment: CommandEnvironment, flags: RouterFlags, vms: readonly Vm[]): readonly string[] => {
  const given = flags.router ?? environment.readVariable('DOTTERELSPOKE_ROUTER_URLS')?.split(',') ?? []
  const urls = given.map((url) => url.trim()).filter((url) => URL.canParse(url))
  if (urls.length > 0) return [...new Set(urls)]
  const port = flags.operatorPort ?? environment.readVariable('DOTTERELSPOKE_OPERATOR_PORT')
  if (port === undefined) return []
  return vms.filter(({ kind }) => kind === 'router').map(({ address }) => `http://${address.replace(/:\d+$/, '')}:${port}`)
}

export const findHighestGeneration = (answers: readonly RouterAnswer[]): number =>
  Math.max(0, ...answers.map((answer) => answer.kind === 'answered' ? answer.report.generation : 0))
