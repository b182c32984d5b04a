import { readFileSync } from 'node:fs'
import { describe, expect, it } from 'vitest'
import { renderSettingsPage } from './index.js'

describe('renderSettingsPage', () => {
  it('matches docs/SETTINGS.md', () => {
    expect(readFileSync('docs/SETTINGS.md', 'utf8')).toBe(renderSettingsPage())
  })
})
