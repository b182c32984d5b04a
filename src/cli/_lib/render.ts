/** Renders tables and lines for the terminal. */
import CliTable from 'cli-table3'
import type { Rollout } from '../../decisions/evaluateRollout/index.js'
import { formatIsoTime } from '../../kernel/index.js'
import type { AppliedGeneration, AuditChange, AuditEntry, SheetChange } from '../../types/index.js'

const MAXIMUM_SHOWN_CHANGES = 50

export const renderTable = (head: readonly string[], rows: readonly (readonly string[])[]): string => {
  const table = new CliTable({ head: [...head], style: { head: [], border: [] } })
  for (const row of rows) table.push([...row])
  return table.toString()
}

/** Escapes control characters: a stored text must not send control sequences to the terminal. */
export const escapeControlCharacters = (text: string): string => text.replace(/\p{Cc}/gu, (character) => `\\u${character.charCodeAt(0).toString(16).padStart(4, '0')}`)

export const renderChanges = (changes: readonly (SheetChange | AuditChange)[], count = changes.length): string => {
  if (count === 0) return 'no changes'
  const lines = changes.slice(0, MAXIMUM_SHOWN_CHANGES).map((change) => escapeControlCharacters(`${describeSign(change)} ${change.record} ${change.name}: ${describeChange(change)}`))
  const rest = count - lines.length
  return [...lines, ...(rest > 0 ? [`  and ${rest} more`] : [])].join('\n')
}

const describeSign = ({ before, after }: SheetChange | AuditChange): string => {
  if (before === undefined) return '+'
  return after === undefined ? '-' : '~'
}

const describeChange = ({ before, after }: SheetChange | AuditChange): string =>
  before !== undefined && after !== undefined ? `${before} -> ${after}` : before ?? after ?? ''

export const renderGeneration = ({ generation, appliedBy, appliedAt, applyId }: AppliedGeneration): string =>
  escapeControlCharacters(`generation ${generation}, applied by ${appliedBy} at ${formatIsoTime(appliedAt)} (apply id ${applyId})`)

export const renderHistory = (generations: readonly AppliedGeneration[]): string => renderTable(
  ['generation', 'applied at', 'applied by', 'apply id', 'sheet'],
  generations.map(({ generation, appliedAt, appliedBy, applyId, sheetHash }) => [String(generation), formatIsoTime(appliedAt), escapeControlCharacters(appliedBy), escapeControlCharacters(applyId), sheetHash.slice(0, 12)])
)

export const renderRollout = (rollout: Rollout): string => {
  if (rollout.nodes.length === 0) return 'no router was asked: give --router or --operator-port'
  const table = renderTable(
    ['node', 'availabilityZone', 'state', 'generation', 'detail'],
    rollout.nodes.map(({ node, availabilityZone, state, generation, detail }) => [escapeControlCharacters(node), availabilityZone, state, generation === undefined ? '?' : String(generation), escapeControlCharacters(detail)])
  )
  return `${table}\n${summarizeRollout(rollout)}`
}

export const summarizeRollout = ({ generation, isInForceEverywhere, nodes }: Rollout): string => {
  const confirmed = nodes.filter(({ state }) => state === 'inForce' || state === 'reported').length
  if (isInForceEverywhere) return `generation ${generation} is in force on all ${confirmed} routers`
  return `generation ${generation} is confirmed on ${confirmed} of ${nodes.filter(({ state }) => state !== 'gone').length} routers; it is NOT confirmed everywhere`
}

export const renderAudit = (entries: readonly AuditEntry[]): string => entries.map((entry) => escapeControlCharacters(
  `${formatIsoTime(entry.at)} ${entry.operator}: ${entry.action}, generation ${entry.generationFrom} -> ${entry.generationTo}: ${entry.outcome}${entry.reason === undefined ? '' : ` (${entry.reason})`}, sheet ${entry.sheetHash.slice(0, 12)}, apply id ${entry.applyId}`
) + `\n${indent(renderChanges(entry.changes, entry.changeCount))}`).join('\n')

const indent = (text: string): string => text.split('\n').map((line) => `  ${line}`).join('\n')
