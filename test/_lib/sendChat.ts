/** Chats as a caller sends them, with all that the caller can tell of the answer. */
import { composeAnswer } from '../../src/emulator/composeAnswer/index.js'
import type { JournalEntry } from './startFleet.js'
import { CALLER_KEY, MODEL } from './startFleet.js'

export type ChatEnd = {
  readonly question: string
  readonly requestId: string | undefined
  /** What the caller takes for the whole answer; `undefined` when it was told of an error. */
  readonly text: string | undefined
  /** Of a refusal. */
  readonly outcome: string | undefined
  /** What the caller was told in place of an answer. */
  readonly told: string
}

export type SentChat = {
  /** Resolves when the first bytes of the answer are there, or it has ended. */
  readonly whenStarted: Promise<void>
  readonly whenEnded: Promise<ChatEnd>
}

/** Enough of a broken stream to show its error event. */
const ERROR_LENGTH = 300
const END_MARKER = 'data: [DONE]\n\n'

const createMessages = (question: string) => [{ role: 'user', content: question }]

const readStreamedText = (body: string): string => body.split('\n')
  .filter((line) => line.startsWith('data: {'))
  .map((line) => JSON.parse(line.slice('data: '.length)).choices?.[0]?.delta?.content ?? '')
  .join('')

/** A body that ended properly; without its end marker it is given as it is, so that it shows. */
const readText = (body: string, stream: boolean): string => {
  if (!stream) return JSON.parse(body).choices[0].message.content
  return body.endsWith(END_MARKER) ? readStreamedText(body) : body
}

const readEnd = async (question: string, response: Response, stream: boolean, start: () => void): Promise<ChatEnd> => {
  const requestId = response.headers.get('x-request-id') ?? undefined
  const decoder = new TextDecoder()
  let body = ''
  try {
    for await (const bytes of response.body ?? []) {
      body += decoder.decode(bytes, { stream: true })
      start()
    }
  } catch {
    return { question, requestId, text: undefined, outcome: undefined, told: body.slice(-ERROR_LENGTH) }
  }
  if (response.status === 200) return { question, requestId, text: readText(body, stream), outcome: undefined, told: '' }
  return { question, requestId, text: undefined, outcome: response.headers.get('x-request-outcome') ?? undefined, told: body }
}

/**
 * Sends one question as a chat of its own.
 *
 * @param caller - Origin of a router.
 * @param question - The one message; the stand-in's answer follows from it.
 * @param stream - Whether to ask for a stream.
 * @returns When the answer starts and how it ends.
 */
export const sendChat = (caller: string, question: string, stream: boolean): SentChat => {
  let start = (): void => {}
  const whenStarted = new Promise<void>((resolve) => { start = resolve })
  const ask = async (): Promise<ChatEnd> => {
    const response = await fetch(`${caller}/v1/chat/completions`, {
      method: 'POST',
      headers: { authorization: `Bearer ${CALLER_KEY}`, 'content-type': 'application/json' },
      body: JSON.stringify({ model: MODEL, stream, messages: createMessages(question) })
    })
    return await readEnd(question, response, stream, start)
  }
  return { whenStarted, whenEnded: ask().finally(start) }
}

/** Problems with what callers were told, by the stand-ins' answers and journals. */
export const judgeChats = (ends: readonly ChatEnd[], journal: readonly JournalEntry[]): readonly string[] => {
  const ran = new Set(journal.map(({ requestId }) => requestId))
  const wrong = ends
    .filter(({ question, text }) => text !== undefined && text !== composeAnswer(createMessages(question)).text)
    .map(({ question }) => `${question}: what passed for the whole answer is not`)
  const falseRefusals = ends
    .filter(({ requestId, outcome }) => outcome === 'not-run' && requestId !== undefined && ran.has(requestId))
    .map(({ question }) => `${question}: refused as not run, but ran`)
  return [...wrong, ...falseRefusals]
}
