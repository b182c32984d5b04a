/**
 * A server fails part of its settlements after it has run them: it answers 503 without `X-Not-Executed`, which states
 * nothing. Broken is REFUSED: such a request must not be answered 503, since it has run.
 */
import { openChannel } from '../standIns-2/client.mjs'
import { KEY, startDeployment } from '../standIns-2/platform.mjs'
import { isTroubled, runScenario, wait } from '../standIns-2/scenario.mjs'

const CLIENTS = 6
const LENGTH_MS = 12_000
/** `srv_grey` of the site file: one server of three, four requests in ten, for 6.5 s. */
const GREY_SERVER = 'i-plain2'
const GREY_SHARE = 0.4
const GREY_FROM_MS = 3_000
const GREY_FOR_MS = 6_500
/** A client that gets one of these takes it that the request has not run. */
const PROMISES = new Set([408, 421, 429, 503])

await runScenario(import.meta.url, async ({ write, onClose }) => {
  let isGrey = false
  let served = 0

  const failAfterRun = (run, _request, response) => {
    if (!isGrey || run.server !== GREY_SERVER || served++ % 10 >= 10 * GREY_SHARE) return false
    setTimeout(() => {
      if (response.destroyed) return
      response.writeHead(503, { 'X-Attempt-Id': run.attemptId, 'X-Server-Stamp': `stamp.${run.server}`, 'Content-Length': 6 })
      response.end('failed')
      write(`server ${run.server} ran ${run.attemptId} and answered 503 without X-Not-Executed`)
    }, 60)
    return true
  }

  const deployment = await startDeployment({ gateways: 2, plain: 3, backend: { spoil: failAfterRun } })
  onClose(deployment.close)
  const endsAt = performance.now() + LENGTH_MS
  const answers = []
  let settlements = 0

  /** Sends one attempt on a channel of its own. */
  const attempt = async (node, attemptId) => {
    const channel = await openChannel(node.front)
    const answer = await channel.send({ method: 'POST', path: '/settle/2f', body: `settlement ${attemptId}`, headers: { 'X-Attempt-Id': attemptId, 'X-Deadline-Ms': 1_500, Authorization: `Bearer ${KEY}` } })
    channel.close()
    answers.push({ attemptId, status: answer.status })
    write(`client ${attemptId} ${answer.status ?? answer.end}`)
    return answer
  }

  const runClient = async (client) => {
    while (performance.now() < endsAt) {
      const name = `settle-${settlements++}`
      const first = await attempt(deployment.nodes[client % 2], `${name}-a`)
      // A client retries an unsafe request once, after a promise, at another machine.
      if (PROMISES.has(first.status)) {
        await wait(Number(first.headers['retry-after'] ?? 0) * 1_000)
        await attempt(deployment.nodes[(client + 1) % 2], `${name}-b`)
      }
      await wait(200)
    }
  }

  setTimeout(() => { isGrey = isTroubled }, GREY_FROM_MS)
  setTimeout(() => { isGrey = false }, GREY_FROM_MS + GREY_FOR_MS)
  await Promise.all(Array.from({ length: CLIENTS }, (_, client) => runClient(client)))

  const ran = new Set(deployment.runs.map(({ attemptId }) => attemptId))
  const twice = [...ran].filter((id) => id.endsWith('-a') && ran.has(id.replace(/a$/, 'b'))).length
  write(`${answers.length} attempts, ${ran.size} ran; ${twice} settlements ran in both attempts of their client`)
  if (answers.filter(({ status }) => status === 200).length < answers.length / 2) throw new Error('most settlements were not served')
  return answers.filter(({ attemptId, status }) => PROMISES.has(status) && ran.has(attemptId)).map(({ attemptId, status }) => `REFUSED: ${attemptId} was answered ${status} and has run`)
})
