import { expect, it } from 'vitest'
import { CALLER_KEY, startFleet } from '../_lib/startFleet.js'
it('smoke', async () => {
  const fleet = await startFleet()
  try {
    const send = (router: number, key: string) => fetch(`${fleet.routers[router]!.caller}/orders/1`, { method: 'POST', headers: { authorization: `Bearer ${CALLER_KEY}`, 'idempotency-key': key, 'content-type': 'text/plain' }, body: 'pasta' })
    for (const [router, key] of [[0, 'a'], [1, 'a'], [0, 'b'], [0, 'b']] as const) {
      const t = performance.now()
      const r = await send(router, key)
      console.log(r.status, Object.fromEntries(r.headers), await r.text(), performance.now() - t)
    }
    console.log(JSON.stringify(await fleet.readJournals()), JSON.stringify((await fleet.routers[0]!.readStatus())))
  } finally { await fleet.stop() }
  expect(1).toBe(1)
})
