/**
 * Validates a complete sheet: duplicate names, references to missing records,
 * and settings that contradict each other.
 */
import type { BackendService, Sheet, SheetColumn, SheetRecordProblem } from '../../types/index.js'

type Check = (sheet: Sheet) => readonly SheetRecordProblem[]

/**
 * Checks that the records of a sheet fit together.
 *
 * The format of single values is checked when a sheet is parsed. This check
 * also runs on sheets that a program changed, such as the drain command.
 *
 * @param sheet - The sheet to check.
 * @returns Every fault, with the record's list and its index there; empty when the sheet is valid.
 *
 * @example
 * checkSheet({ clientAccounts: [], services: [], backendServers: [], routes: [], plannedStops: [] }) // => []
 */
export const checkSheet = (sheet: Sheet): readonly SheetRecordProblem[] => checks.flatMap((check) => check(sheet))

const lists: readonly (keyof Sheet)[] = ['clientAccounts', 'services', 'backendServers', 'routes', 'plannedStops']

const checkNames: Check = (sheet) => lists.flatMap((record) => findDuplicates(sheet[record].map(({ name }) => name))
  .map((index) => ({ record, index, column: 'name' as const, message: `name "${sheet[record][index]?.name}" stands twice` })))

const checkKeys: Check = (sheet) => {
  const ownerOf = new Map<string, number>()
  return sheet.clientAccounts.flatMap(({ keyHashes }, index) => keyHashes.flatMap((hash) => {
    const owner = ownerOf.get(hash)
    ownerOf.set(hash, owner ?? index)
    if (owner === undefined) return []
    return [{ record: 'clientAccounts' as const, index, column: 'keySha256' as const, message: `the key is already given to client account "${sheet.clientAccounts[owner]?.name}"` }]
  }))
}

const checkLoadMultiples: Check = (sheet) => sheet.services.flatMap(({ loadLimit, loadTarget }, index) => {
  if (loadTarget < loadLimit) return []
  return [{ record: 'services' as const, index, column: 'loadTarget' as const, message: `loadTarget ${loadTarget} must be below loadLimit ${loadLimit}` }]
})

const checkReferences: Check = (sheet) => {
  const services = new Set(sheet.services.map(({ name }) => name))
  const backendServers = new Set(sheet.backendServers.map(({ name }) => name))
  const availabilityZones = new Set(sheet.backendServers.map(({ availabilityZone }) => availabilityZone))
  return [
    ...sheet.backendServers.flatMap(({ service }, index) => checkReference('backendServers', index, 'service', service, services)),
    ...sheet.routes.flatMap(({ service }, index) => checkReference('routes', index, 'service', service, services)),
    ...sheet.plannedStops.flatMap(({ backendServer = '', availabilityZone = '' }, index) => [
      ...checkReference('plannedStops', index, 'backendServer', backendServer, backendServers),
      ...checkReference('plannedStops', index, 'availabilityZone', availabilityZone, availabilityZones)
    ])
  ]
}

const checkReference = (record: keyof Sheet, index: number, column: SheetColumn, name: string, known: ReadonlySet<string>): readonly SheetRecordProblem[] => {
  if (name === '' || known.has(name)) return []
  return [{ record, index, column, message: `${column} "${name}" is not in the sheet` }]
}

const checkUrls: Check = (sheet) => findDuplicates(sheet.backendServers.map(({ url }) => url))
  .map((index) => ({ record: 'backendServers', index, column: 'url', message: `url ${sheet.backendServers[index]?.url} belongs to another backendServer already` }))

const checkServicesHaveServers: Check = (sheet) => {
  const withServers = new Set(sheet.backendServers.map(({ service }) => service))
  return sheet.services.flatMap(({ name }, index) => {
    if (name === '' || withServers.has(name)) return []
    return [{ record: 'services' as const, index, column: 'name' as const, message: `service "${name}" has no backendServer` }]
  })
}

const checkRouteTargets: Check = (sheet) => {
  const services = new Map(sheet.services.map((service) => [service.name, service]))
  return sheet.routes.flatMap((route, index) => {
    const service = services.get(route.service)
    if (service === undefined) return []
    return targetFaults[service.kind](route.model, route.path).map(([column, message]) => ({ record: 'routes' as const, index, column, message }))
  })
}

type TargetFault = readonly [SheetColumn, string]

const targetFaults: Readonly<Record<BackendService['kind'], (model?: string, path?: string) => readonly TargetFault[]>> = {
  model: (model, path) => [
    ...(model === undefined ? [['model', 'a route to a service of kind model needs a model'] as const] : []),
    ...(path === undefined ? [] : [['path', 'a route to a service of kind model has no path'] as const])
  ],
  plain: (model, path) => [
    ...(path === undefined ? [['path', 'a route to a service of kind plain needs a path'] as const] : []),
    ...(model === undefined ? [] : [['model', 'a route to a service of kind plain has no model'] as const])
  ]
}

/** Each model name and each path prefix must match exactly one route. */
const checkRouteClashes: Check = (sheet) => (['model', 'path'] as const).flatMap((column) => {
  const targets = sheet.routes.map((route) => column === 'path' ? route.path?.replace(/(?<=.)\/$/, '') ?? '' : route.model ?? '')
  return findDuplicates(targets).map((index) => ({ record: 'routes' as const, index, column, message: `${column} "${sheet.routes[index]?.[column]}" belongs to another route already` }))
})

const checkStopTimes: Check = (sheet) => sheet.plannedStops.flatMap(({ startsAt, endsAt }, index): readonly SheetRecordProblem[] => {
  if (Number.isNaN(startsAt)) return [{ record: 'plannedStops', index, column: 'startsAt', message: 'startsAt is missing or not readable' }]
  if (endsAt === undefined || endsAt > startsAt) return []
  return [{ record: 'plannedStops', index, column: 'endsAt', message: 'endsAt must be after startsAt' }]
})

/** Returns the indexes of values that occur earlier in the list; empty values are not compared. */
const findDuplicates = (values: readonly string[]): readonly number[] => {
  const seen = new Set<string>()
  return values.flatMap((value, index) => {
    const isDuplicate = value !== '' && seen.has(value)
    seen.add(value)
    return isDuplicate ? [index] : []
  })
}

const checks: readonly Check[] = [
  checkNames, checkKeys, checkLoadMultiples, checkReferences, checkUrls,
  checkServicesHaveServers, checkRouteTargets, checkRouteClashes, checkStopTimes
]
