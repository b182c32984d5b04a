/** Formats the key under which a prompt part of a service is kept. */
import type { PromptPartKey } from '../../../types/index.js'

export const formatPartKey = ({ service, part }: PromptPartKey): string => `${service} ${part}`
