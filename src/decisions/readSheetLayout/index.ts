/** The order of a sheet's backend servers, for load counts that name them by their place. */
import type { Configuration, ServerLayout } from '../../types/index.js'

/**
 * Reads the layout of a configuration's backend servers.
 *
 * @param configuration - The configuration in force; none before the first.
 * @returns The servers in the order of the sheet, empty without a configuration.
 *
 * @example
 * readSheetLayout(undefined) // => { generation: 0, servers: [] }
 */
export const readSheetLayout = (configuration: Configuration | undefined): ServerLayout =>
  ({ generation: configuration?.generation ?? 0, servers: configuration?.sheet.backendServers ?? [] })
