/** Events that change the fleet during the measurement. */
import type { Simulation } from './createSimulation.js'

export type Scenario = (simulation: Simulation, times: { readonly from: number, readonly until: number }) => void

const CHURN_SHARE_PER_MINUTE = 0.1
const MINUTE_MS = 60_000
const FLAP_MS = 4_000
const DISAGREEMENT_MS = 5_000
const DISAGREEING_SHARE = 0.3

const scheduleAt = (simulation: Simulation, time: number, action: () => void): void => {
  simulation.clock.setTimer(time - simulation.clock.now(), action)
}

const removeOldest = (simulation: Simulation): void => {
  const oldest = simulation.engines()[0]
  if (oldest !== undefined) simulation.removeEngine(oldest.name)
}

const replaceOldest = (simulation: Simulation): void => {
  removeOldest(simulation)
  simulation.addEngine()
}

/** Hides the first engine from each router, or shows it again, after a random delay per router. */
const toggleFirstEngine = (simulation: Simulation, isGone: boolean): void => {
  const first = simulation.engines()[0]
  simulation.routers.forEach((_router, index) => {
    const delayMs = simulation.random.next() * FLAP_MS / 4
    simulation.clock.setTimer(delayMs, () => simulation.hideEngine(index, isGone ? first?.name : undefined))
  })
}

const shuffleViews = (simulation: Simulation): void => {
  const engines = simulation.engines()
  simulation.routers.forEach((_router, index) => {
    const isDisagreeing = simulation.random.next() < DISAGREEING_SHARE
    const missed = engines[Math.floor(simulation.random.next() * engines.length)]
    simulation.hideEngine(index, isDisagreeing ? missed?.name : undefined)
  })
}

export const scenarios: Readonly<Record<string, Scenario>> = {
  steady: () => {},
  'one engine leaves': (simulation, { from, until }) => scheduleAt(simulation, from + (until - from) / 4, () => removeOldest(simulation)),
  'churn 10 %/min': (simulation, { from, until }) => {
    const interval = MINUTE_MS / (CHURN_SHARE_PER_MINUTE * simulation.engines().length)
    for (let time = from + interval / 2; time < until; time += interval) scheduleAt(simulation, time, () => replaceOldest(simulation))
  },
  'one engine flaps': (simulation, { from, until }) => {
    for (let time = from; time < until; time += FLAP_MS) scheduleAt(simulation, time, () => toggleFirstEngine(simulation, (time - from) / FLAP_MS % 2 === 0))
  },
  'routers disagree': (simulation, { from, until }) => {
    for (let time = from; time < until; time += DISAGREEMENT_MS) scheduleAt(simulation, time, () => shuffleViews(simulation))
  }
}
