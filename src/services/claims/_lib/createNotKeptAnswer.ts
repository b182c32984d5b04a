import type { StoredAnswer } from '../../../types/index.js'

const CONFLICT_STATUS = 409

/** Answer to a duplicate request when the original was completed but its answer was too large to store: it ran and is not run again. */
export const createNotKeptAnswer = (): StoredAnswer => ({
  status: CONFLICT_STATUS,
  headers: { 'content-type': 'application/json', 'x-should-retry': 'false' },
  body: new TextEncoder().encode(JSON.stringify({
    error: {
      message: 'The request with this idempotency key was completed. Its answer was too large to keep.',
      type: 'invalid_request_error',
      code: 'answerNotKept',
      outcome: 'complete'
    }
  }))
})
