/** Prints what `sendThroughGateway` did. */
import { sendThroughGateway } from './sendThroughGateway.js'

for (const [index, { status, backendServer, events }] of (await sendThroughGateway()).entries()) {
  console.log(`turn ${index + 1}: status ${status}, ${events} events, signed by ${backendServer}`)
}
