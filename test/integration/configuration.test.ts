/**
 * Tests that an accepted sheet takes effect on all routers within seconds and is never
 * reverted. Operators' commands and routers are real processes, and each link passes
 * through a fault proxy.
 */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterAll, afterEach, beforeEach, describe, expect, it } from 'vitest'
import { runOperatorCommand, SECRETS } from '../_lib/runOperatorCommand.js'
import { startFleet, type Fleet } from '../_lib/startFleet.js'
import { startProcess, type FinishedCommand } from '../_lib/startProcess.js'
import { waitFor } from '../_lib/waitFor.js'

const folder = mkdtempSync(join(tmpdir(), 'dotterelspoke-'))
let fleet: Fleet

beforeEach(async () => { fleet = await startFleet({ routers: 3 }) })
afterEach(async () => { await fleet.stop() })
afterAll(() => { rmSync(folder, { recursive: true }) })

const run = (operator: string, ...flags: readonly string[]): Promise<FinishedCommand> => runOperatorCommand(fleet, operator, ...flags)

/** Writes the current sheet with another weight of its client account to a file and returns the path. */
const writeSheet = async (weight: number): Promise<string> => {
  const { stdout } = await run('anybody', 'sheet', 'show')
  const path = join(folder, `sheet-${weight}.csv`)
  writeFileSync(path, stdout.replace(/clientAccount,deli-1,\d+/, `clientAccount,deli-1,${weight}`))
  return path
}

const readGenerations = async (): Promise<readonly number[]> =>
  (await Promise.all(fleet.routers.map((router) => router.readStatus()))).map(({ generation }) => generation)

type HistoryLine = { readonly generation: number, readonly applyId: string, readonly appliedBy: string }

const readHistory = async (): Promise<readonly HistoryLine[]> => JSON.parse((await run('anybody', 'sheet', 'history', '--json')).stdout) as HistoryLine[]

describe('an accepted sheet', () => {
  it('is confirmed by every router', async () => {
    const applied = await run('jana', 'sheet', 'apply', await writeSheet(2), '--wait', '30')
    expect(applied).toMatchObject({ code: 0, stdout: expect.stringContaining('generation 2 is in force on all 3 routers') })
    expect(await readGenerations()).toEqual([2, 2, 2])
  })

  // Two operators who apply concurrently would both be told that their sheet is in force.
  it('is the one whose operator got exit code 0, when four operators apply concurrently', async () => {
    const paths = await Promise.all([2, 3, 4, 5].map(writeSheet))
    const runs = await Promise.all(paths.map((path, index) => run(`operator-${index}`, 'sheet', 'apply', path, '--against', '1', '--wait', '30')))
    expect(runs.map(({ code }) => code).sort()).toEqual([0, 3, 3, 3])
    const winner = runs.findIndex(({ code }) => code === 0)
    expect(runs.filter(({ code }) => code === 3).every(({ stdout }) => stdout.includes(`applied by operator-${winner} `))).toBe(true)
    expect((await run('anybody', 'sheet', 'show')).stdout).toContain(`clientAccount,deli-1,${winner + 2},`)
  })

  // A command whose replies from the platform are lost would report the wrong outcome.
  it.each([1, 2, 3, 9])('is reported as accepted only if it is, when the replies to %i writes are lost', async (count) => {
    const path = await writeSheet(2)
    await fleet.platform.setFault({ fault: 'loseReplies', count })
    const { code } = await run('jana', 'sheet', 'apply', path, '--apply-id', 'the-one')
    await fleet.platform.setFault({ fault: 'loseReplies', on: false })
    const isAccepted = (await readHistory()).some(({ applyId }) => applyId === 'the-one')
    expect([0, 4, 5]).toContain(code)
    if (code !== 5) expect(isAccepted).toBe(code === 0)
    expect((await run('jana', 'sheet', 'apply', path, '--apply-id', 'the-one', '--wait', '30')).code).toBe(0)
    expect((await readHistory()).filter(({ applyId }) => applyId === 'the-one')).toHaveLength(1)
  })
})

describe('a router', () => {
  // A router on a replaced VM could not serve while the platform is down.
  it('that starts while the platform is down gets the generation from its peers', async () => {
    await run('jana', 'sheet', 'apply', await writeSheet(2), '--wait', '30')
    await fleet.platform.setFault({ fault: 'outage', on: true })
    const seeds = fleet.routers.map(({ peerLink }) => peerLink.address).join(',')
    const replaced = await startProcess([
      'router', '--node-id', 'router-new', '--availability-zone', 'scot-central-a', '--platform-url', String(fleet.platform.process.ready['listening']),
      '--seed-peers', seeds, '--caller-port', '0', '--operator-port', '0', '--peer-port', '0', '--log-level', 'warn'
    ], SECRETS)
    const readGeneration = async (): Promise<unknown> => (await (await fetch(`${String(replaced.ready['operator'])}/readyz`)).json() as { readonly generation: number }).generation
    await waitFor('the new router to have generation 2', async () => await readGeneration() === 2)
    await replaced.kill()
  })

  // A node that is cut off would be counted as having the new sheet.
  it('that is cut off keeps its generation, is listed as behind, and catches up when healed', async () => {
    const path = await writeSheet(2)
    const cutOff = fleet.routers[2]!
    const links = [...fleet.routers.map(({ peerLink }) => peerLink), cutOff.platformLink]
    for (const link of links) link.setFault({ kind: 'blackhole' })
    const applied = await run('jana', 'sheet', 'apply', path, '--wait', '4')
    expect(applied).toMatchObject({ code: 6, stdout: expect.stringMatching(/router-3.*behind/) })
    expect(await readGenerations()).toEqual([2, 2, 1])
    for (const link of links) link.setFault({ kind: 'none' })
    await waitFor('every router to confirm generation 2', async () => (await run('jana', 'sheet', 'status')).code === 0)
  })

  // A paused node would be counted as having confirmed the new sheet.
  it('that is paused is not confirmed until it resumes', async () => {
    const path = await writeSheet(2)
    fleet.routers[1]!.process.pause()
    const applied = await run('jana', 'sheet', 'apply', path, '--wait', '1')
    expect(applied).toMatchObject({ code: 6, stdout: expect.stringContaining('no answer in time') })
    fleet.routers[1]!.process.resume()
    await waitFor('every router to confirm generation 2', async () => (await run('jana', 'sheet', 'status')).code === 0)
  })
})
