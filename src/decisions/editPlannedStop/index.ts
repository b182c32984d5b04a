/** Adds and removes the planned stop of one backend server. */
import { failure, success } from '../../kernel/index.js'
import type { PlannedStop, Result, Sheet } from '../../types/index.js'

export type DrainEdit =
  | { readonly kind: 'start', readonly backendServer: string, readonly startsAt: number, readonly endsAt?: number }
  | { readonly kind: 'cancel', readonly backendServer: string }

export type DrainEditError =
  | { readonly kind: 'unknownBackendServer', readonly message: string }
  | { readonly kind: 'noDrain', readonly message: string }
  | { readonly kind: 'endsBeforeStart', readonly message: string }

const NAME_PREFIX = 'drain-'

/**
 * Starts or cancels a drain by changing the planned stops of a sheet.
 *
 * A drain is one planned stop, named after its backend server, so that a
 * second drain of the same server replaces the first. Planned stops with other
 * names come from the sheet that planners maintain and are not changed.
 *
 * @param sheet - The sheet in force.
 * @param edit - The drain to start or cancel; times in milliseconds since 1970.
 * @returns The changed sheet, or the reason why it cannot be changed.
 *
 * @example
 * editPlannedStop(sheet, { kind: 'start', backendServer: 'model-1', startsAt: 0 })
 */
export const editPlannedStop = (sheet: Sheet, edit: DrainEdit): Result<Sheet, DrainEditError> => {
  const isKnown = sheet.backendServers.some(({ name }) => name === edit.backendServer)
  if (!isKnown) return failure({ kind: 'unknownBackendServer', message: `there is no backend server "${edit.backendServer}" in the configuration in force` })
  return handlers[edit.kind](sheet, edit as never)
}

/** Returns, by its name, whether a planned stop was created by a drain rather than by the planners' sheet. */
export const isDrainName = (name: string): boolean => name.startsWith(NAME_PREFIX)

const formatDrainName = (backendServer: string): string => `${NAME_PREFIX}${backendServer}`

type Start = Extract<DrainEdit, { readonly kind: 'start' }>

const start = (sheet: Sheet, { backendServer, startsAt, endsAt }: Start): Result<Sheet, DrainEditError> => {
  if (endsAt !== undefined && endsAt <= startsAt) return failure({ kind: 'endsBeforeStart', message: 'the drain must end after it starts' })
  const plannedStop: PlannedStop = { name: formatDrainName(backendServer), backendServer, startsAt, ...(endsAt === undefined ? {} : { endsAt }) }
  return success({ ...sheet, plannedStops: [...withoutDrain(sheet, backendServer), plannedStop] })
}

const cancel = (sheet: Sheet, { backendServer }: DrainEdit): Result<Sheet, DrainEditError> => {
  const plannedStops = withoutDrain(sheet, backendServer)
  if (plannedStops.length < sheet.plannedStops.length) return success({ ...sheet, plannedStops })
  const others = plannedStops.filter((stop) => stop.backendServer === backendServer).map(({ name }) => name)
  const hint = others.length === 0 ? '' : `; the sheet plans ${others.join(', ')}, which a new sheet must take out`
  return failure({ kind: 'noDrain', message: `backend server "${backendServer}" has no drain to cancel${hint}` })
}

const withoutDrain = (sheet: Sheet, backendServer: string): readonly PlannedStop[] => sheet.plannedStops.filter(({ name }) => name !== formatDrainName(backendServer))

const handlers: { readonly [Kind in DrainEdit['kind']]: (sheet: Sheet, edit: Extract<DrainEdit, { readonly kind: Kind }>) => Result<Sheet, DrainEditError> } = { start, cancel }
