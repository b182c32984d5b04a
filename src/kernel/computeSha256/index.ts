import { createHash } from 'node:crypto'

/**
 * Computes the SHA-256 hash of bytes or of a text's UTF-8 form.
 *
 * @param content - The bytes or text to hash.
 * @returns The hash as 64 lower-case hexadecimal digits.
 *
 * @example
 * computeSha256('') // => 'e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855'
 */
export const computeSha256 = (content: string | Uint8Array): string => createHash('sha256').update(content).digest('hex')
