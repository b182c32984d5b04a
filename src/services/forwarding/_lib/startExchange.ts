/** Starts the exchange of one attempt, with every event contained. */
import type { ErrorContainment } from './createErrorContainment.js'
import type { SendAttempt } from './createSendAttempt.js'
import type { ExchangeListener } from '../../../types/index.js'

/** Sends the attempt to its target. A target for which the client throws is left like one that can't be reached. */
export const startExchange = (attempt: SendAttempt, listener: ExchangeListener, { guard, report }: ErrorContainment): void => {
  try {
    attempt.exchange = attempt.target.send({
      maySend: listener.maySend,
      onSent: guard(listener.onSent),
      onHead: guard(listener.onHead),
      onData: guard(listener.onData),
      onEnd: guard(listener.onEnd),
      onFailure: guard(listener.onFailure)
    })
  } catch (error) {
    listener.onFailure({ kind: attempt.sentAt === undefined ? 'notSent' : 'broken', message: report(error) })
  }
}
