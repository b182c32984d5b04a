/** Checks that routers of both builds work in one fleet, and that the new build alone reads what the old one stored. */
import { createHash } from 'node:crypto'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { runCommand, startDaemon, waitUntil } from './processes.mjs'

const KEY = 'key-of-the-upgrade-check'
const TOKEN = 'operator token of the upgrade check'
const MODEL = 'upgrade-8b'
const SECRETS = { DOTTERELSPOKE_FLEET_KEY: 'fleet key of the upgrade check', DOTTERELSPOKE_OPERATOR_TOKEN: TOKEN }
const ZONES = ['zone-a', 'zone-b']
const CHATS = 12
const COLUMNS = 'record,name,weight,keySha256,kind,loadLimit,loadTarget,service,url,availabilityZone,slots,model,path,repeatable,backendIdempotent,deadlineSeconds,priority,backendServer,startsAt,endsAt'.split(',')

const formatRow = (record) => COLUMNS.map((column) => record[column] ?? '').join(',')

const writeSheet = (path, { engines, service, weight }) => writeFileSync(path, [COLUMNS.join(','), ...[
  { record: 'clientAccount', name: 'deli', weight, keySha256: createHash('sha256').update(KEY).digest('hex') },
  { record: 'service', name: 'assistants', kind: 'model', loadLimit: 3, loadTarget: 2.5 },
  { record: 'service', name: 'ordering', kind: 'plain', loadLimit: 3, loadTarget: 2.5 },
  ...engines.map(({ ready }, index) => ({ record: 'backendServer', name: `engine-${index + 1}`, service: 'assistants', url: ready.listening, availabilityZone: ZONES[index % ZONES.length], slots: 8 })),
  { record: 'backendServer', name: 'ordering-1', service: 'ordering', url: service.ready.listening, availabilityZone: ZONES[0], slots: 32 },
  { record: 'route', name: 'chat', service: 'assistants', model: MODEL, repeatable: 'yes', backendIdempotent: 'no', deadlineSeconds: 20, priority: 'interactive' },
  { record: 'route', name: 'orders', service: 'ordering', path: '/orders', repeatable: 'no', backendIdempotent: 'no', deadlineSeconds: 20, priority: 'interactive' }
].map(formatRow)].join('\n'))

const sendTurn = async (router, chat, turn, headers = {}) => {
  const messages = Array.from({ length: turn }, (_, index) => [{ role: 'user', content: `chat ${chat}, question ${index}` }, { role: 'assistant', content: `answer ${index}` }]).flat().slice(0, -1)
  const response = await fetch(`${router.ready.caller}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${KEY}`, 'content-type': 'application/json', ...headers },
    body: JSON.stringify({ model: MODEL, messages, max_tokens: 8 })
  })
  await response.text()
  return { status: response.status, server: response.headers.get('x-served-by'), hint: response.headers.get('x-chat-hint') }
}

const sendOrder = async (router, key) => {
  const response = await fetch(`${router.ready.caller}/orders/${key}`, { method: 'POST', headers: { authorization: `Bearer ${KEY}`, 'idempotency-key': key, 'content-type': 'text/plain' }, body: `order ${key}` })
  return { status: response.status, body: await response.text(), isReplay: response.headers.get('x-idempotent-replay') === 'true' }
}

const readStatus = async ({ ready }) => {
  const response = await fetch(`${ready.operator}/status`, { headers: { authorization: `Bearer ${TOKEN}` } })
  return await response.json()
}

const wait = (ms) => new Promise((resolve) => { setTimeout(resolve, ms) })

/** Time for the directory entry of a chat to reach a peer: it is sent after the answer, without waiting for a reply. */
const DIRECTORY_DELAY_MS = 500

/** Starts chats at one router and continues them at another; counts those that reach the same server again, by directory or by hint. */
const countReturns = async (first, second, label, withHint) => {
  const chats = Array.from({ length: CHATS }, (_, index) => `${label}-${index}`)
  const turns = []
  for (const chat of chats) turns.push(await sendTurn(first, chat, 1, { 'x-chat-id': chat }))
  await wait(DIRECTORY_DELAY_MS)
  let returned = 0
  for (const [index, chat] of chats.entries()) {
    const firstTurn = turns[index]
    const secondTurn = await sendTurn(second, chat, 2, { 'x-chat-id': chat, ...(withHint ? { 'x-chat-hint': firstTurn.hint } : {}) })
    if (firstTurn.status === 200 && secondTurn.status === 200 && firstTurn.server === secondTurn.server) returned += 1
  }
  return returned
}

const UNREADABLE = /could not be decoded|did not prove|cannot be read|is damaged|no handler|malformed|unhandled|not readable/i

export const checkRouters = async (builds, check) => {
  const folder = mkdtempSync(join(tmpdir(), 'dotterelspoke-upgrade-'))
  const platform = await startDaemon(builds.old, ['emulate', 'platform'])
  const engines = await Promise.all(Array.from({ length: 4 }, () => startDaemon(builds.old, ['emulate', 'engine'])))
  const service = await startDaemon(builds.old, ['emulate', 'service'])
  const url = platform.ready.listening
  const started = []
  const startRouter = async (build, index) => {
    const seeds = started.map(({ ready }) => String(ready.peer).replace(/^\w+:\/\//, '')).join(',')
    const router = await startDaemon(builds[build], [
      'router', '--node-id', `${build}-${index}`, '--availability-zone', ZONES[index % 2], '--platform-url', url, '--seed-peers', seeds,
      '--caller-port', '0', '--operator-port', '0', '--peer-port', '0', '--shutdown-delay-ms', '100', '--watch-timeout-ms', '2000', '--log-level', 'debug'
    ], SECRETS)
    started.push(router)
    return { ...router, name: `${build}-${index}` }
  }
  const runOperatorCommand = async (build, commandArguments, routers) =>
    await runCommand(builds[build], [...commandArguments, '--platform', url, ...(commandArguments[0] === 'drain' || commandArguments[1] === 'apply' ? ['--as', 'upgrade'] : []), ...routers.flatMap(({ ready }) => ['--router', ready.operator])], SECRETS)
  const waitUntilSettled = (routers, generation) => waitUntil(async () => {
    const statuses = await Promise.all(routers.map(readStatus))
    return statuses.every((status) => status.ready && status.generation === generation && status.members.filter(({ state }) => state === 'live').length === routers.length)
  })

  const sheet = join(folder, 'sheet.csv')
  writeSheet(sheet, { engines, service, weight: 1 })
  const applied = await runOperatorCommand('old', ['sheet', 'apply', sheet], [])
  check('the old command line applies a sheet', applied.code === 0, applied.output.split('\n')[0])
  const routers = [await startRouter('old', 1), await startRouter('new', 2), await startRouter('old', 3), await startRouter('new', 4)]
  const [old1, new2, old3, new4] = routers
  check('four routers, two of each build, see each other as live, with generation 1', await waitUntilSettled(routers, 1))

  for (const [first, second] of [[old1, new2], [new2, old1], [old3, new4], [new4, old3]]) {
    for (const withHint of [false, true]) {
      const returned = await countReturns(first, second, `${first.name}-${second.name}-${withHint}`, withHint)
      check(`chats started at ${first.name} and continued at ${second.name} reach the same server ${withHint ? 'by hint' : 'by directory'}`, returned === CHATS, `${returned} of ${CHATS}`)
    }
  }
  for (const [first, second] of [[old1, new2], [new4, old3]]) {
    const key = `order-${first.name}`
    const order = await sendOrder(first, key)
    const duplicate = await sendOrder(second, key)
    check(`a duplicate of an order sent to ${first.name} gets the stored answer from ${second.name}`, order.status < 300 && !order.isReplay && duplicate.isReplay && duplicate.body === order.body, `${order.status}, ${duplicate.status}`)
  }
  const hasUsage = await waitUntil(async () => {
    const counts = (await Promise.all(routers.map(readStatus))).map(({ accountUsage }) => accountUsage.length)
    return counts.every((count) => count > 0)
  })
  check('the usage of accounts reaches all routers', hasUsage)

  writeSheet(sheet, { engines, service, weight: 2 })
  const changed = await runOperatorCommand('new', ['sheet', 'apply', sheet, '--wait', '15'], routers)
  check('a sheet that the new command line applies is in force at all routers', changed.code === 0, changed.output.trim().split('\n').at(-1))
  const drained = await runOperatorCommand('old', ['drain', 'engine-1', '--wait', '15'], routers)
  check('a drain that the old command line starts completes at all routers', drained.code === 0, drained.output.trim().split('\n').at(-1))
  const ended = await runOperatorCommand('new', ['drain', 'engine-1', '--cancel'], routers)
  check('the new command line cancels the drain', ended.code === 0, ended.output.trim().split('\n').at(-1))
  check('all routers have generation 4', await waitUntilSettled(routers, 4))
  for (const commandArguments of [['sheet', 'status'], ['sheet', 'history'], ['sheet', 'show'], ['audit']]) {
    const outputs = [await runOperatorCommand('old', commandArguments, commandArguments[1] === 'status' ? routers : []), await runOperatorCommand('new', commandArguments, commandArguments[1] === 'status' ? routers : [])]
    check(`both command lines print the same for ${commandArguments.join(' ')}`, outputs[0].code === 0 && outputs[0].output === outputs[1].output, `codes ${outputs.map(({ code }) => code).join(', ')}`)
  }
  const unreadable = routers.flatMap(({ lines }) => lines).filter((line) => UNREADABLE.test(line))
  check('no router logs a message that it could not decode', unreadable.length === 0, unreadable[0])

  for (const router of routers) await router.end()
  started.length = 0
  const newRouters = [await startRouter('new', 5), await startRouter('new', 6)]
  check('new routers alone load the sheet that the fleet stored', await waitUntilSettled(newRouters, 4))
  const replays = [await sendOrder(newRouters[0], 'order-old-1'), await sendOrder(newRouters[1], 'order-new-4')]
  check('new routers return the stored answers for orders that were sent before', replays.every(({ isReplay, status }) => isReplay && status < 300), replays.map(({ status }) => status).join(', '))
  const newOrder = await sendOrder(newRouters[0], 'order-after')
  check('new routers execute a new order', newOrder.status < 300 && !newOrder.isReplay, String(newOrder.status))
  check('new routers log no message that they could not decode', newRouters.every(({ lines }) => !lines.some((line) => UNREADABLE.test(line))))
  rmSync(folder, { recursive: true })
}
