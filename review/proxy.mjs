/** A proxy before the platform's store, whose open channels can go silent for good while new ones work. */
import { connect, createServer } from 'node:net'

/** `onRequest` is told of the beginning of what each gateway sends. */
export const startProxy = async ({ target, onRequest }) => {
  const [host, port] = target.split(':')
  const channels = new Set()
  const server = createServer((near) => {
    const far = connect({ host, port: Number(port), noDelay: true })
    const channel = { near, far, isSilent: false }
    channels.add(channel)
    near.setNoDelay(true)
    const pass = (from, to) => {
      // What arrives on a silent channel is read and lost; its end is not passed on either.
      from.on('data', (bytes) => { if (!channel.isSilent) to.write(bytes) })
      from.on('end', () => { if (!channel.isSilent) to.end() })
      from.on('error', () => { if (!channel.isSilent) to.destroy() })
    }
    near.on('data', (bytes) => { if (!channel.isSilent) onRequest(bytes.subarray(0, 200).toString('latin1')) })
    pass(near, far)
    pass(far, near)
    near.on('close', () => {
      channels.delete(channel)
      far.destroy()
    })
  })
  await new Promise((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  return {
    address: `127.0.0.1:${server.address().port}`,
    /** Returns the number of channels that went silent. */
    silenceOpenChannels: () => {
      for (const channel of channels) channel.isSilent = true
      return channels.size
    },
    close: () => new Promise((resolve) => {
      server.close(resolve)
      for (const { near, far } of channels) {
        near.destroy()
        far.destroy()
      }
    })
  }
}
