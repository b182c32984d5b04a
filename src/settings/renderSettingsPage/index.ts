import { formatEnvironmentVariable, formatFlag } from '../parseRouterSettings/index.js'
import { routerSettingDefinitions, type SettingDefinition } from '../routerSettingDefinitions/index.js'

const renderFlag = (definition: SettingDefinition): string =>
  definition.secret === true ? `${formatFlag(definition.name)}-file` : formatFlag(definition.name)

const renderDefault = (definition: SettingDefinition): string => {
  if (definition.defaultText === undefined) return 'must be given'
  return definition.defaultText === '' ? 'none' : `\`${definition.defaultText}\``
}

const renderRow = (definition: SettingDefinition): string => {
  const cells = [`\`${renderFlag(definition)}\``, `\`${formatEnvironmentVariable(definition.name)}\``, definition.unit, renderDefault(definition), definition.range, definition.description]
  return `| ${cells.join(' | ')} |`
}

/**
 * Renders docs/SETTINGS.md from the table of settings.
 *
 * @returns The complete page as Markdown.
 *
 * @example
 * renderSettingsPage().startsWith('# Settings') // => true
 */
export const renderSettingsPage = (): string => [
  '# Settings of the router',
  '',
  'Made by `dotterelspoke settings --markdown` from the table in `src/settings/routerSettingDefinitions`; a test keeps the two alike.',
  'A flag goes before its environment variable, and that before the default. A secret comes from its environment variable',
  'or from the file that its flag names, and is never printed. All problems are reported at once, and the exit code is 2.',
  '',
  '| flag | environment variable | unit | default | range | what it is for |',
  '| --- | --- | --- | --- | --- | --- |',
  ...routerSettingDefinitions.map(renderRow),
  ''
].join('\n')
