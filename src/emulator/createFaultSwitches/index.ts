/** Switches that turn the faults of an emulated server on and off. */
import { z } from 'zod'

/** Turns one fault on until it is turned off, or for the next `count` times. */
export type FaultCommand = {
  readonly fault: string
  readonly on?: boolean | undefined
  readonly count?: number | undefined
  /** Duration in milliseconds, for faults that delay. */
  readonly ms?: number | undefined
  /** Number of pieces of the answer before the fault, for faults in the middle of an answer. */
  readonly after?: number | undefined
}

export type FaultSetting = { readonly remaining: number, readonly ms: number, readonly after: number }

export type FaultSwitches<Name extends string> = {
  /** Sets one fault; returns false when the fault is unknown. */
  readonly apply: (command: FaultCommand) => boolean
  readonly clear: () => void
  /** The setting when the fault is on; a counted fault is not decremented. */
  readonly peek: (fault: Name) => FaultSetting | undefined
  /** The setting when the fault is on; a counted fault is decremented. */
  readonly take: (fault: Name) => FaultSetting | undefined
  readonly settings: () => Readonly<Record<string, { readonly remaining: number | 'on', readonly ms: number, readonly after: number }>>
  readonly onChange: (listener: () => void) => void
}

/** The body of `POST /faults`. */
export const faultCommandSchema = z.object({
  fault: z.string(),
  on: z.boolean().optional(),
  count: z.number().int().min(0).optional(),
  ms: z.number().min(0).optional(),
  after: z.number().int().min(0).optional()
})

/**
 * Creates the switches of the named faults, all off.
 *
 * @param names - The faults of the emulated server.
 * @returns The switches.
 *
 * @example
 * const faults = createFaultSwitches(['outage'])
 * faults.apply({ fault: 'outage', count: 1 })
 * faults.take('outage') // => { remaining: 1, ms: 0, after: 0 }
 * faults.take('outage') // => undefined
 */
export const createFaultSwitches = <Name extends string>(names: readonly Name[]): FaultSwitches<Name> => {
  const known = new Set<string>(names)
  const active = new Map<string, FaultSetting>()
  const listeners: (() => void)[] = []
  const notifyListeners = (): void => listeners.forEach((listener) => listener())

  return {
    apply: ({ fault, on, count, ms = 0, after = 0 }) => {
      if (!known.has(fault)) return false
      const remaining = on === false ? 0 : count ?? Infinity
      if (remaining > 0) active.set(fault, { remaining, ms, after })
      else active.delete(fault)
      notifyListeners()
      return true
    },
    clear: () => {
      active.clear()
      notifyListeners()
    },
    peek: (fault) => active.get(fault),
    take: (fault) => {
      const setting = active.get(fault)
      if (setting === undefined) return undefined
      if (setting.remaining > 1) active.set(fault, { ...setting, remaining: setting.remaining - 1 })
      else active.delete(fault)
      return setting
    },
    settings: () => Object.fromEntries([...active].map(([fault, { remaining, ms, after }]) =>
      [fault, { remaining: remaining === Infinity ? 'on' as const : remaining, ms, after }])),
    onChange: (listener) => { listeners.push(listener) }
  }
}
