import type { BackendInstance } from '../../types/index.js'

const UNSTATED_VERSION = ''

/** In place of the version of a stream that began at a server of unknown software; no server has it, so that the stream goes on nowhere. */
export const UNCERTAIN_VERSION = '\u0000uncertain'

/**
 * Reads the software version of a backend server. Servers that state none count as
 * servers of one version.
 *
 * @param instance - The backend server.
 * @returns The version.
 *
 * @example
 * readSoftwareVersion({ softwareVersion: 'v1.2' }) // => 'v1.2'
 */
export const readSoftwareVersion = ({ softwareVersion }: Pick<BackendInstance, 'softwareVersion'>): string => softwareVersion ?? UNSTATED_VERSION
