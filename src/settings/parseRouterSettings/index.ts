import { failure, success } from '../../kernel/index.js'
import type { Result, RouterSettings } from '../../types/index.js'
import { routerSettingDefinitions, type SettingDefinition } from '../routerSettingDefinitions/index.js'

/** One setting that is missing, unknown or out of range. */
export type SettingProblem = {
  readonly flag: string
  readonly environmentVariable: string
  readonly message: string
}

/** Unparsed setting values by name, from flags or a file. */
export type SettingTexts = Readonly<Partial<Record<string, string>>>

const ENVIRONMENT_PREFIX = 'DOTTERELSPOKE_'

const splitWords = (name: string): readonly string[] => name.replace(/([A-Z])/g, ' $1').toLowerCase().split(' ')

/**
 * Returns the command-line flag of a setting.
 *
 * @param name - Name of the setting in camelCase.
 * @returns The flag in kebab-case.
 *
 * @example
 * formatFlag('nodeId') // => '--node-id'
 */
export const formatFlag = (name: string): string => `--${splitWords(name).join('-')}`

/**
 * Returns the environment variable of a setting.
 *
 * @param name - Name of the setting in camelCase.
 * @returns The variable's name.
 *
 * @example
 * formatEnvironmentVariable('nodeId') // => 'DOTTERELSPOKE_NODE_ID'
 */
export const formatEnvironmentVariable = (name: string): string => `${ENVIRONMENT_PREFIX}${splitWords(name).join('_').toUpperCase()}`

const describeProblem = (definition: SettingDefinition, message: string): SettingProblem => ({
  flag: definition.secret === true ? `${formatFlag(definition.name)}-file` : formatFlag(definition.name),
  environmentVariable: formatEnvironmentVariable(definition.name),
  message
})

const findUnknownVariables = (environment: SettingTexts): readonly SettingProblem[] => {
  const known = new Set(routerSettingDefinitions.map((definition) => formatEnvironmentVariable(definition.name)))
  return Object.keys(environment)
    .filter((variable) => variable.startsWith(ENVIRONMENT_PREFIX) && !known.has(variable) && !toolVariables.has(variable))
    .map((variable) => ({ flag: '', environmentVariable: variable, message: 'is not a setting' }))
}

/** Variables that the operator commands read and that may be set in the same environment. */
const toolVariables: ReadonlySet<string> = new Set(['DOTTERELSPOKE_OPERATOR', 'DOTTERELSPOKE_ROUTER_URLS', 'DOTTERELSPOKE_ACCOUNT_KEYS'])

const findCrossProblems = (settings: RouterSettings): readonly SettingProblem[] => {
  if (settings.deadAfterMs > settings.suspectAfterMs) return []
  const definition = routerSettingDefinitions.find((candidate) => candidate.name === 'deadAfterMs')
  return definition === undefined ? [] : [describeProblem(definition, 'must be more than the time after which a peer is suspected')]
}

/**
 * Validates and parses the settings of a router.
 *
 * A flag overrides its environment variable, which overrides the default. All
 * problems are reported, not just the first, each with the flag and the
 * environment variable of the setting.
 *
 * @param flags - Values of the settings given as flags, by setting name.
 * @param environment - The environment variables of the process.
 * @returns The settings, or all problems.
 *
 * @example
 * parseRouterSettings({ nodeId: 'router-1' }, process.env)
 */
export const parseRouterSettings = (flags: SettingTexts, environment: SettingTexts): Result<RouterSettings, readonly SettingProblem[]> => {
  const problems: SettingProblem[] = [...findUnknownVariables(environment)]
  const values: Record<string, unknown> = {}
  for (const definition of routerSettingDefinitions) {
    const text = flags[definition.name] ?? environment[formatEnvironmentVariable(definition.name)] ?? definition.defaultText
    if (text === undefined) {
      problems.push(describeProblem(definition, 'must be given'))
      continue
    }
    const parsed = definition.schema.safeParse(text)
    if (parsed.success) values[definition.name] = parsed.data
    else problems.push(describeProblem(definition, parsed.error.issues[0]?.message ?? 'is not valid'))
  }
  if (problems.length > 0) return failure(problems)
  const settings = values as RouterSettings
  const crossProblems = findCrossProblems(settings)
  return crossProblems.length > 0 ? failure(crossProblems) : success(settings)
}
