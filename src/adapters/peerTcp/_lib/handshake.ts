/**
 * Mutual authentication with the fleet key. Each side picks a nonce, and each
 * proof is an HMAC over the prover's role and both nonces. A proof can't be
 * replayed on another connection, since the verifier's nonce is new each time,
 * nor reflected to its sender, since the roles differ.
 */
import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto'

const NONCE_BYTES = 16

export type Role = 'dialer' | 'listener'

export type Challenge = { readonly nonce: Uint8Array }

export type DialerProof = { readonly nonce: Uint8Array, readonly proof: Uint8Array }

export type ListenerProof = { readonly proof: Uint8Array }

export const createNonce = (): Buffer => randomBytes(NONCE_BYTES)

export const createProof = (fleetKey: string, role: Role, dialerNonce: Uint8Array, listenerNonce: Uint8Array): Buffer =>
  createHmac('sha256', fleetKey).update(`dotterelspoke peer ${role}\n`).update(dialerNonce).update(listenerNonce).digest()

export const isValidProof = (expected: Uint8Array, given: unknown): boolean =>
  given instanceof Uint8Array && given.length === expected.length && timingSafeEqual(expected, given)

export const isNonce = (value: unknown): value is Uint8Array => value instanceof Uint8Array && value.length === NONCE_BYTES
