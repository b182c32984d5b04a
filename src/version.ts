import { readFileSync } from 'node:fs'

const readPackage = (): { readonly version: string } =>
  JSON.parse(readFileSync(new URL('../package.json', import.meta.url), 'utf8'))

/** Version of the package. */
export const version = readPackage().version
