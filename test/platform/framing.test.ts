/** Tests seeded random requests with ambiguous framing (request smuggling) and with forged system headers. */
import fc from 'fast-check'
import { afterAll, beforeAll, describe, expect, test } from 'vitest'
import { exchangeBytes, nextRequestId } from '../../platform/standIn/callGateway/index.js'
import { HOST, KEY } from '../../platform/standIn/createPlatform/index.js'
import { startGatewayFleet, type GatewayFleet } from './_lib/startGatewayFleet.js'

const SEED = 20_261_203
const RUNS = 160
/** Number of concurrent connections. */
const CONCURRENT_CONNECTIONS = 20
/** An answer takes a few milliseconds, and the answer to a smuggled request would follow it at once. */
const LISTEN_MS = 400

let fleet: GatewayFleet

beforeAll(async () => { fleet = await startGatewayFleet() })
afterAll(async () => { await fleet.close() })

const composeHead = (requestId: string, lines: readonly string[]): string =>
  ['POST /lookup/1 HTTP/1.1', `Host: ${HOST}`, `X-Attempt-Id: ${requestId}`, 'X-Deadline-Ms: 2000', `Authorization: Bearer ${KEY}`, ...lines, '', ''].join('\r\n')

const changeCase = (text: string, mask: number): string =>
  [...text].map((character, index) => ((mask >> (index % 24)) & 1) === 1 ? character.toUpperCase() : character.toLowerCase()).join('')

/** Headers by which one parser reads a body of `length` bytes and another reads a shorter or longer one. */
const AMBIGUITIES: readonly ((length: number) => readonly string[])[] = [
  (length) => [`Content-Length: ${length}`, 'Transfer-Encoding: chunked'],
  (length) => ['Transfer-Encoding: chunked', `Content-Length: ${length}`],
  (length) => [`Content-Length: ${length}`, 'Content-Length: 5'],
  (length) => ['Content-Length: 5', `Content-Length: ${length}`],
  (length) => [`Content-Length: ${length}, 5`],
  (length) => [`Content-Length: +${length}`],
  (length) => [`Content-Length: 0x${length.toString(16)}`],
  (length) => [`Content-Length: ${length} 5`],
  (length) => [`Content-Length : ${length}`, 'Transfer-Encoding: chunked'],
  () => ['Transfer-Encoding: chunked, identity'],
  () => ['Transfer-Encoding: identity, chunked'],
  () => ['Transfer-Encoding: xchunked'],
  () => ['Transfer-Encoding: chunked', 'Transfer-Encoding: identity'],
  () => ['Transfer-Encoding : chunked'],
  () => ['Transfer-Encoding:\x0bchunked'],
  (length) => [`Content-Length: ${length}`, 'X-Note: a', ' Transfer-Encoding: chunked'],
  (length) => [`Content-Length: ${length}`, 'X-Note: a\rTransfer-Encoding: chunked']
]

const BODY_PREFIXES = ['0\r\n\r\n', '5\r\nhello\r\n0\r\n\r\n', 'hello', '-1\r\n', '5;a=\r\nhello\r\n0\r\n\r\n']

const ambiguousRequests = fc.record({
  ambiguity: fc.constantFrom(...AMBIGUITIES),
  before: fc.constantFrom(...BODY_PREFIXES),
  mask: fc.nat({ max: 2 ** 24 - 1 })
})

const runInBatches = async <Case>(cases: readonly Case[], run: (one: Case) => Promise<unknown>): Promise<void> => {
  for (let index = 0; index < cases.length; index += CONCURRENT_CONNECTIONS) await Promise.all(cases.slice(index, index + CONCURRENT_CONNECTIONS).map(run))
}

const readRequestIds = (): readonly string[] => [...fleet.backends.values()].flatMap((backend) => backend.records().map(({ requestId }) => requestId))

// A request smuggled in the body of an ambiguously framed one would run without a check of its key.
test('a request that is smuggled by ambiguous framing never runs', async () => {
  const cases = fc.sample(ambiguousRequests, { numRuns: RUNS, seed: SEED })
  await runInBatches(cases, async ({ ambiguity, before, mask }) => {
    const body = before + composeHead(`hidden-${nextRequestId()}`, ['Content-Length: 0'])
    const lines = ambiguity(body.length).map((line) => line.replace(/^[A-Za-z-]+/, (name) => changeCase(name, mask)))
    await exchangeBytes(fleet.callerAddress(), composeHead(nextRequestId(), lines) + body, LISTEN_MS)
  })
  expect(readRequestIds().filter((requestId) => requestId.startsWith('hidden-'))).toEqual([])
})

const SYSTEM_HEADERS = ['X-Tenant', 'X-Expect-Instance', 'X-Request-Priority', 'X-Expect-Version', 'X-Pin-Ms', 'X-Hold', 'X-Kv-Backup', 'Kv-From', 'Kv-Fetch']

const forgedRequests = fc.record({ names: fc.subarray(SYSTEM_HEADERS, { minLength: 1 }), mask: fc.nat({ max: 2 ** 24 - 1 }) })

describe('a header that only the system sets', () => {
  test('is not forwarded when a caller sends it, in any letter case', async () => {
    const cases = fc.sample(forgedRequests, { numRuns: RUNS, seed: SEED })
    await runInBatches(cases, async ({ names, mask }) => {
      const lines = names.map((name) => `${changeCase(name, mask)}: forged`)
      await exchangeBytes(fleet.callerAddress(), composeHead(`forged-${nextRequestId()}`, [...lines, 'Content-Length: 0']), LISTEN_MS)
    })
    const records = [...fleet.backends.values()].flatMap((backend) => backend.records()).filter(({ requestId }) => requestId.startsWith('forged-'))
    expect(records.length).toBeGreaterThan(RUNS / 2)
    for (const { headers } of records) expect(Object.values(headers)).not.toContain('forged')
  })
})
