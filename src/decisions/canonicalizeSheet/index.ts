/** Puts equivalent sheets into the same canonical form. */
import type { Sheet } from '../../types/index.js'

/**
 * Puts a sheet into canonical form: each list sorted by name, key hashes sorted.
 *
 * @param sheet - A sheet with records in any order.
 * @returns The same records in canonical order.
 *
 * @example
 * canonicalizeSheet(sheet).clientAccounts.map(({ name }) => name) // => ['alfa', 'beta']
 */
export const canonicalizeSheet = (sheet: Sheet): Sheet => ({
  clientAccounts: sortByName(sheet.clientAccounts.map((account) => ({ ...account, keyHashes: [...account.keyHashes].sort() }))),
  services: sortByName(sheet.services),
  backendServers: sortByName(sheet.backendServers),
  routes: sortByName(sheet.routes),
  plannedStops: sortByName(sheet.plannedStops)
})

const sortByName = <Named extends { readonly name: string }>(records: readonly Named[]): readonly Named[] =>
  [...records].sort((one, other) => one.name < other.name ? -1 : 1)
