/** Creates an operator who applies sheets through a configuration store of their own. */
import { createSeededRandom } from '../../src/adapters/seededRandom/index.js'
import { computeSha256 } from '../../src/kernel/index.js'
import { createAuditTrail, type AuditTrail } from '../../src/services/auditTrail/index.js'
import { createConfigurationStore, type ApplyOutcome, type ConfigurationStore } from '../../src/services/configurationStore/index.js'
import type { Clock, Platform, Sheet } from '../../src/types/index.js'

export type Operator = {
  readonly store: ConfigurationStore
  readonly auditTrail: AuditTrail
  /** Applies a sheet in the operator's name; the apply id defaults to `<name>-<number>`. */
  readonly apply: (sheet: Sheet, plannedAgainst: number, options?: { readonly applyId?: string, readonly fleetGeneration?: number }) => Promise<ApplyOutcome>
}

export const createOperator = (name: string, platform: Platform, clock: Clock): Operator => {
  const auditTrail = createAuditTrail(platform)
  const store = createConfigurationStore({ platform, auditTrail, clock, random: createSeededRandom(1), hashContent: computeSha256 })
  let applies = 0
  return {
    store,
    auditTrail,
    apply: (sheet, plannedAgainst, options = {}) => {
      applies += 1
      return store.applySheet({ sheet, plannedAgainst, appliedBy: name, applyId: `${name}-${applies}`, action: 'sheet apply', ...options })
    }
  }
}

/** Creates a clock whose timers fire at once, for tests of retries that do not depend on the delay. */
export const createImmediateClock = (): Clock => ({
  now: () => 0,
  wallTime: () => 1_700_000_000_000,
  setTimer: (_, callback) => {
    queueMicrotask(callback)
    return { cancel: () => {} }
  }
})
