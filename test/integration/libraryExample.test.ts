import { readdirSync, readFileSync } from 'node:fs'
import { describe, expect, it } from 'vitest'
import { hostNodes } from '../../examples/library/hostNodes.js'

const LAYERS = ['adapters', 'daemon', 'decisions', 'emulator', 'hashing', 'kernel', 'node', 'services', 'settings']

describe('the library', () => {
  it('hosts several routers in one process, without a listener', async () => {
    const answers = await hostNodes()
    expect(answers.map(({ router, answer }) => [router, answer.kind, answer.kind === 'whole' && answer.status])).toEqual([
      ['router-1', 'whole', 200], ['router-2', 'whole', 200], ['router-3', 'whole', 200]
    ])
  })

  it('exports every public function, in alphabetical order', () => {
    const folders = LAYERS.flatMap((layer) => readdirSync(`src/${layer}`, { withFileTypes: true })
      .filter((entry) => entry.isDirectory() && !entry.name.startsWith('_'))
      .map((entry) => `./${layer}/${entry.name}/index.js`))
    const exported = [...readFileSync('src/index.ts', 'utf8').matchAll(/from '(\.\/[^']+\/[^']+\/index\.js)'/g)].map((match) => match[1])
    expect(exported).toEqual(folders.sort())
  })
})
