/** Checks that gateways of both builds work together with one store, and that both builds read logs of the old build alike. */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { build } from 'esbuild'
import { runCommand, waitUntil } from './processes.mjs'

const BUNDLE = 'target/upgradeStandIns.mjs'

const bundleStandIns = async () => {
  await build({
    stdin: {
      contents: "export * from './platform/standIn/createPlatform/index.ts'; export * from './platform/standIn/callGateway/index.ts'; export * from './platform/standIn/startGatewayProcess/index.ts'",
      resolveDir: process.cwd()
    },
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'esm',
    outfile: BUNDLE,
    packages: 'external'
  })
  return await import(`../../${BUNDLE}`)
}

const PROMPTS = 12
const FIELDS = { 'bounds.evacuate_ms': '2000', 'zones.zone-a': 'north', 'zones.zone-b': 'north', 'bounds.cold_excess': '1.5', 'bounds.cold_slack': '5' }
const UNREADABLE = /malformed|could not be decoded|unhandled|settings refused|not readable/

const readServer = ({ headers }) => headers['x-instance-id'] ?? headers['x-server-stamp']

const readEventNames = (gateway) => gateway.lines.map(({ message }) => message)

export const checkGateways = async (builds, check) => {
  const { createPlatform, callGateway, promptHeaders, startGatewayProcess } = await bundleStandIns()
  const platform = await createPlatform({ entries: { 'plain-2': { zone: 'zone-b' }, 'engine-2': { zone: 'zone-b' } } })
  const gateways = []
  for (const [index, name] of ['old', 'new', 'old', 'new'].entries()) {
    gateways.push(await startGatewayProcess({
      name: `${name}-${index + 1}`,
      store: platform.store.address(),
      seeds: gateways.map(({ peerAddress }) => peerAddress),
      fields: FIELDS,
      program: ['--max-old-space-size=160', join(builds[name], 'target/gateway.cjs')]
    }))
  }
  try {
    const [old1, new2, old3, new4] = gateways
    const isReady = async ({ readinessAddress: { host, port } }) => {
      const response = await fetch(`http://${host}:${port}/readyz`).catch(() => undefined)
      return response?.ok === true
    }
    check('two gateways of each build become ready with settings files of the same format', await waitUntil(async () => (await Promise.all(gateways.map(isReady))).every(Boolean)))
    const readMembers = async ({ metricsAddress: { host, port } }) => {
      const text = await (await fetch(`http://${host}:${port}/metrics`)).text()
      return Number(/dotterelspoke_members\{state="live"\} (\d+)/.exec(text)?.[1] ?? 0)
    }
    check('each gateway has four live members', await waitUntil(async () => (await Promise.all(gateways.map(readMembers))).every((count) => count === 4)))

    for (const [first, second] of [[old1, new2], [new2, old1], [old3, new4], [new4, old3]]) {
      const label = `${gateways.indexOf(first) + 1}-${gateways.indexOf(second) + 1}`
      const sendPrompt = (gateway, prompt, ownPart) => callGateway(gateway.callerAddress, { path: '/chat/1', body: 'hello', headers: promptHeaders(`${label}${prompt}`, ownPart) })
      const ids = Array.from({ length: PROMPTS }, (_, index) => `p${index}`)
      const firstAnswers = []
      for (const id of ids) firstAnswers.push(await sendPrompt(first, id, 'first'))
      // A gateway announces to its peers, in batches, which server received which prompt.
      await new Promise((resolve) => { setTimeout(resolve, 1_000) })
      let returned = 0
      for (const [index, id] of ids.entries()) {
        const secondAnswer = await sendPrompt(second, id, 'second')
        if (secondAnswer.status === 200 && readServer(secondAnswer) !== undefined && readServer(secondAnswer) === readServer(firstAnswers[index])) returned += 1
      }
      check(`prompts first sent through gateway ${label.replace('-', ' return through ')} to the engine that caches them`, returned === PROMPTS, `${returned} of ${PROMPTS}`)
    }
    const orders = await Promise.all(gateways.map(({ callerAddress }) => callGateway(callerAddress, { path: '/order/1', body: 'order' })))
    check('all gateways forward orders', orders.every(({ status, isComplete }) => status === 200 && isComplete), orders.map(({ status }) => status).join(', '))

    platform.applyConfiguration(2)
    const holdsVersion = ({ lines }) => lines.some(({ message, version }) => message === 'configuration in force' && version === 2)
    check('version 2 of the configuration reaches all gateways', await waitUntil(() => gateways.every(holdsVersion)), gateways.map(({ lines }) => lines.find(({ message, version }) => message === 'configuration in force' && version === 2)?.from).join(', '))
    platform.store.put('evacuations', 'zone-b', {})
    check('a zone drain reaches all gateways', await waitUntil(() => gateways.every((gateway) => readEventNames(gateway).includes('zone drain begun'))), gateways.map(({ lines }) => lines.find(({ message }) => message === 'zone drain begun')?.from).join(', '))
    const during = await Promise.all(gateways.map(({ callerAddress }) => callGateway(callerAddress, { path: '/lookup/1' })))
    check('all gateways use servers of the other zone during the drain', during.every(({ status }) => status === 200), during.map(({ status }) => status).join(', '))
    const unreadable = gateways.flatMap(({ lines }) => lines).filter(({ message }) => UNREADABLE.test(String(message)))
    check('no gateway logs a message that it could not decode', unreadable.length === 0, JSON.stringify(unreadable[0]))

    await checkLogs(builds, check, old1.lines)
    await checkSettingsFile(check, gateways)
  } finally {
    for (const gateway of gateways) await gateway.close()
    await platform.close()
    rmSync(BUNDLE)
  }
}

/** Checks that both builds reload a changed settings file on SIGHUP. */
const checkSettingsFile = async (check, gateways) => {
  for (const gateway of gateways) {
    gateway.rewriteSettings({ 'bounds.retry_ratio': '0.3' })
    gateway.signal('SIGHUP')
  }
  check('both builds reload a changed settings file', await waitUntil(() => gateways.every((gateway) => readEventNames(gateway).includes('settings reloaded'))))
}

/** Checks that both builds print the same about a log of the old build, and about the recorded log of a day. */
const checkLogs = async (builds, check, lines) => {
  const folder = mkdtempSync(join(tmpdir(), 'dotterelspoke-upgrade-'))
  const written = join(folder, 'old.log')
  writeFileSync(written, lines.map((line) => `${JSON.stringify(line)}\n`).join(''))
  const requestId = lines.find(({ message }) => message === 'request complete')?.requestId
  const recorded = 'test/platform/recorded/day.jsonl'
  const commands = [
    ['explain', String(requestId), written], ['logs', 'summary', written], ['logs', 'summary', '--period', '5', recorded],
    ...['dc7d1cc34f07feb9', 'ffeab552148cd4c2', '79a0491bc7f99364'].map((id) => ['explain', id, recorded])
  ]
  for (const commandArguments of commands) {
    const outputs = [await runCommand(builds.old, commandArguments), await runCommand(builds.new, commandArguments)]
    check(`both builds print the same for ${commandArguments.slice(0, 2).join(' ')} of ${commandArguments.at(-1) === written ? 'a log of the old build' : 'the recorded day'}`, outputs[0].code === 0 && outputs[0].output === outputs[1].output, `codes ${outputs.map(({ code }) => code).join(', ')}`)
  }
  rmSync(folder, { recursive: true })
}
