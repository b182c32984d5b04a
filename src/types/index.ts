/** The shared types of the library, all read-only. */
export type * from './configuration.js'
export type * from './environment.js'
export type * from './peer.js'
export type * from './platform.js'
export type * from './request.js'
export type * from './result.js'
export type * from './services.js'
export type * from './settings.js'
