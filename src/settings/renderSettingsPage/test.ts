import { readFileSync } from 'node:fs'
import { describe, expect, it } from 'vitest'
import { renderSettingsPage } from './index.js'

describe('renderSettingsPage', () => {
  it('gives the page that stands in docs', () => {
    expect(readFileSync('docs/SETTINGS.md', 'utf8')).toBe(renderSettingsPage())
  })
})
