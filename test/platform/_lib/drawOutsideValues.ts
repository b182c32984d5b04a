/** Values that other programs may write into the store, a settings file or the head of an answer: sound ones, odd ones, and ones at their limits. */
import fc from 'fast-check'

type Fields = Readonly<Record<string, unknown>>

export const LIMIT_NUMBERS = [0, -0, -1, 1, 0.5, 1e-300, 1e308, -1e308, 65_535, 65_536, 2 ** 31 - 1, 2 ** 31, 2 ** 32, 2 ** 53, -(2 ** 53)]

export const oddTexts = fc.oneof(
  fc.string({ maxLength: 20 }),
  fc.string({ unit: 'binary', maxLength: 20 }),
  fc.constantFrom('', ' ', '\ud800', 'a\ud800', 'é', 'a\r\nX-Y: 1', '\u0000', '%', '%zz', 'a,b', 'a@1', '__proto__', 'constructor', 'x'.repeat(257), 'x'.repeat(100_000), '[', '/', '1e999')
)

/** No valid one is outside the loopback network, since clients connect to them. */
export const addresses = fc.oneof(
  fc.tuple(fc.nat({ max: 400 }), fc.nat({ max: 300 }), fc.nat({ max: 99_999 })).map(([high, low, port]) => `127.9.${high}.${low}:${port}`),
  fc.constantFrom('127.0.0.1:82233', '127.0.0.1:65536', '127.9.0.1:0', '127.0.0.300:8080', '127.9.0.01:80', '127.9.0.1:080', '127.9.0.1', 'localhost:80', '[::1]:80', '127.9.0.1:80@example:1', '127.9.0.1:80/x')
)

const oddValues = fc.oneof(oddTexts, addresses, fc.constantFrom<unknown>(...LIMIT_NUMBERS, null, true, [], {}, [null], { a: 1 }), fc.jsonValue({ maxDepth: 2 }))

/** Puts odd values into up to three of the fields, or leaves these fields out. */
export const spoil = (sound: Fields): fc.Arbitrary<Fields> =>
  fc.array(fc.tuple(fc.constantFrom(...Object.keys(sound)), fc.option(oddValues, { nil: undefined })), { maxLength: 3 })
    .map((changes) => ({ ...sound, ...Object.fromEntries(changes) }))

export const names = fc.oneof(fc.stringMatching(/^i-[0-9a-f]{4}$/), oddTexts)

/** Objects of one kind as the store lists them; some are no objects. */
export const drawObjects = (specs: fc.Arbitrary<unknown>): fc.Arbitrary<readonly unknown[]> =>
  fc.array(fc.oneof({ weight: 6, arbitrary: fc.record({ metadata: fc.record({ name: names, revision: fc.constantFrom(1, 2, -1, 1e308) }), spec: fc.oneof({ weight: 4, arbitrary: specs }, oddValues) }) }, oddValues), { maxLength: 8 })

const SERVER: Fields = { service: 'plain', address: '127.9.0.1:9', zone: 'zone-a', version: 'v1', slots: 4, state: 'ready', cold_left_ms: 0, seq_no: 1, born: 1 }

export const serverSpecs = fc.tuple(fc.constantFrom('plain', 'engines'), spoil(SERVER)).map(([service, spec]) => spec['service'] === 'plain' ? { ...spec, service } : spec)

export const quarantineSpecs = spoil({ service: 'engines', part: 'part-1', servers: ['i-1'], endsAtFirst: 0, trials: 0 })

/** Heads of answers with what servers state about themselves. */
export const answerHeads = fc.record({
  status: fc.constantFrom(200, 200, 204, 421, 429, 500, 503, 599),
  headers: fc.array(fc.tuple(
    fc.constantFrom('Retry-After', 'Server-Leaving', 'Server-Brittle', 'X-Server-Load', 'X-Not-Executed', 'Content-Length', 'Content-Type', 'Content-Encoding', 'X-Server-Stamp', 'Connection'),
    fc.oneof(oddTexts, fc.constantFrom(...LIMIT_NUMBERS.map(String), '1,2,4', '0,0,0', '1,2,4,0', '999999999999999,0,0,1', '1,2', '9'.repeat(400), 'text/event-stream', '1'))
  ), { maxLength: 6 })
})

const ROUTE: Fields = { name: 'lookup', host: 'shop.example', path_prefix: '/lookup/', route_type: 'safe', timeout_ms: 1_000, latency_goal_ms: 300, gap_target_ms: 300, priority: 1, service: 'plain', max_attempts: 2, public: true, resumable: true, allowed_regions: [], split: undefined }

const SERVICE: Fields = { name: 'plain', health_path: '/health', max_conns: 8, cold_start_s: 1, cold_per_s: 5, engine: undefined }

const ENGINE: Fields = { slots: 4, kv_capacity: 90_000, kv_token_bytes: 100, link_mbps: 1_000, moves: true, backups: true, kv_handle_s: 1, stride: 4 }

const LIMITS: Fields = { max_header_bytes: 16_384, max_body_bytes: 65_536, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 }

const TENANT: Fields = { name: 'pekarna', api_keys: ['key'], priority: 1, allowed_regions: ['north'] }

/** A configuration, sound or spoiled in one of its parts. */
export const configurationSpecs = fc.tuple(spoil(ROUTE), spoil(SERVICE), spoil(ENGINE), spoil(LIMITS), spoil(TENANT), fc.nat({ max: 5 }), oddValues).map(([route, service, engine, limits, tenant, part, odd]) => ({
  version: part === 0 ? odd : 1,
  routes: [part === 1 ? route : ROUTE, { ...ROUTE, name: 'chat', path_prefix: '/chat/', route_type: 'stream', service: 'engines' }],
  services: [part === 2 ? service : SERVICE, { name: 'engines', engine: part === 3 ? engine : ENGINE }],
  limits: part === 4 ? limits : LIMITS,
  tenants: part === 5 ? [tenant] : [TENANT]
}))
