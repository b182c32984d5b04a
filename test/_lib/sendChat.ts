/** Sends chats as a caller and checks what the caller received against the journals of the engines. */
import { composeAnswer } from '../../src/emulator/composeAnswer/index.js'
import type { JournalEntry } from './startFleet.js'
import { CALLER_KEY, MODEL } from './startFleet.js'

export type ChatResult = {
  readonly question: string
  readonly requestId: string | undefined
  /** The text the caller accepts as the complete answer; `undefined` when it received an error. */
  readonly text: string | undefined
  /** Outcome that a refusal states. */
  readonly outcome: string | undefined
  /** Body of the error that the caller received instead of an answer. */
  readonly errorBody: string
}

export type SentChat = {
  /** Resolves when the first bytes of the answer have arrived, or when it has ended. */
  readonly whenStarted: Promise<void>
  readonly whenEnded: Promise<ChatResult>
}

/** Characters kept from the end of a broken stream: enough to show its error event. */
const MAXIMUM_ERROR_CHARACTERS = 300
const END_MARKER = 'data: [DONE]\n\n'

const createMessages = (question: string) => [{ role: 'user', content: question }]

const readStreamedText = (body: string): string => body.split('\n')
  .filter((line) => line.startsWith('data: {'))
  .map((line) => JSON.parse(line.slice('data: '.length)).choices?.[0]?.delta?.content ?? '')
  .join('')

/** Reads the text of a body that ended without a connection error. A stream without its end marker is returned raw, so that the comparison fails. */
const readText = (body: string, stream: boolean): string => {
  if (!stream) return JSON.parse(body).choices[0].message.content
  return body.endsWith(END_MARKER) ? readStreamedText(body) : body
}

const readResult = async (question: string, response: Response, stream: boolean, markStarted: () => void): Promise<ChatResult> => {
  const requestId = response.headers.get('x-request-id') ?? undefined
  const decoder = new TextDecoder()
  let body = ''
  try {
    for await (const bytes of response.body ?? []) {
      body += decoder.decode(bytes, { stream: true })
      markStarted()
    }
  } catch {
    return { question, requestId, text: undefined, outcome: undefined, errorBody: body.slice(-MAXIMUM_ERROR_CHARACTERS) }
  }
  if (response.status === 200) return { question, requestId, text: readText(body, stream), outcome: undefined, errorBody: '' }
  return { question, requestId, text: undefined, outcome: response.headers.get('x-request-outcome') ?? undefined, errorBody: body }
}

/**
 * Sends one question as a separate chat.
 *
 * @param caller - Origin of a router.
 * @param question - The only message; the stand-in derives its answer from it.
 * @param stream - Whether to request a streamed answer.
 * @returns Promises of the start and the end of the answer.
 */
export const sendChat = (caller: string, question: string, stream: boolean): SentChat => {
  let markStarted = (): void => {}
  const whenStarted = new Promise<void>((resolve) => { markStarted = resolve })
  const sendRequest = async (): Promise<ChatResult> => {
    const response = await fetch(`${caller}/v1/chat/completions`, {
      method: 'POST',
      headers: { authorization: `Bearer ${CALLER_KEY}`, 'content-type': 'application/json' },
      body: JSON.stringify({ model: MODEL, stream, messages: createMessages(question) })
    })
    return await readResult(question, response, stream, markStarted)
  }
  return { whenStarted, whenEnded: sendRequest().finally(markStarted) }
}

/** Lists wrong answers and false refusals, by comparing what callers received with the stand-ins' answers and journals. */
export const findChatProblems = (ends: readonly ChatResult[], journal: readonly JournalEntry[]): readonly string[] => {
  const ranRequests = new Set(journal.map(({ requestId }) => requestId))
  const wrong = ends
    .filter(({ question, text }) => text !== undefined && text !== composeAnswer(createMessages(question)).text)
    .map(({ question }) => `${question}: the caller accepted a wrong or incomplete answer`)
  const falseRefusals = ends
    .filter(({ requestId, outcome }) => outcome === 'not-run' && requestId !== undefined && ranRequests.has(requestId))
    .map(({ question }) => `${question}: refused as not run, but the journal has the request`)
  return [...wrong, ...falseRefusals]
}
