/** Settings of the router: the table of definitions, the parser and the docs page. */
export * from './parseRouterSettings/index.js'
export * from './renderSettingsPage/index.js'
export * from './routerSettingDefinitions/index.js'
