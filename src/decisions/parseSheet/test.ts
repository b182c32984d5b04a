import { describe, expect, it } from 'vitest'
import { serializeSheet } from '../serializeSheet/index.js'
import { parseSheet } from './index.js'

const HEADER = 'record,name,weight,keySha256,kind,loadLimit,loadTarget,service,url,availabilityZone,slots,model,path,repeatable,backendIdempotent,deadlineSeconds,priority,backendServer,startsAt,endsAt'
const KEY = 'a'.repeat(64)

const createRow = (cells: Readonly<Record<string, string>>): string => HEADER.split(',').map((column) => cells[column] ?? '').join(',')

const accountRow = (cells: Readonly<Record<string, string>> = {}): string => createRow({ record: 'clientAccount', name: 'podlipan', keySha256: KEY, ...cells })
const serviceRow = (cells: Readonly<Record<string, string>> = {}): string => createRow({ record: 'service', name: 'chat', kind: 'model', ...cells })
const serverRow = (cells: Readonly<Record<string, string>> = {}): string => createRow({ record: 'backendServer', name: 'model-1', service: 'chat', url: 'http://10.0.1.4:8000', availabilityZone: 'venkov-a', ...cells })
const routeRow = (cells: Readonly<Record<string, string>> = {}): string => createRow({ record: 'route', name: 'chat', service: 'chat', model: 'counter-7b', ...cells })
const stopRow = (cells: Readonly<Record<string, string>> = {}): string => createRow({ record: 'plannedStop', name: 'stop-1', backendServer: 'model-1', startsAt: '2026-03-02T22:00:00+01:00', ...cells })

const validRows = (): readonly string[] => [accountRow(), serviceRow(), serverRow(), routeRow(), stopRow()]
const parseRows = (rows: readonly string[], lineEnd = '\n'): ReturnType<typeof parseSheet> => parseSheet([HEADER, ...rows, ''].join(lineEnd))

const listProblems = (text: string): readonly string[] => {
  const parsed = parseSheet(text)
  return parsed.ok ? [] : parsed.error.map(({ line, column, message }) => `${line}:${column} ${message}`)
}

describe('parseSheet', () => {
  it('parses a valid sheet and fills in defaults', () => {
    const parsed = parseRows(validRows())
    expect(parsed).toEqual({
      ok: true,
      value: {
        clientAccounts: [{ name: 'podlipan', weight: 1, keyHashes: [KEY] }],
        services: [{ name: 'chat', kind: 'model', loadLimit: 1.5, loadTarget: 1.26 }],
        backendServers: [{ name: 'model-1', service: 'chat', url: 'http://10.0.1.4:8000', availabilityZone: 'venkov-a', slots: 8 }],
        routes: [{ name: 'chat', service: 'chat', model: 'counter-7b', repeatable: true, backendIdempotent: false, deadlineSeconds: 60, priority: 'interactive' }],
        plannedStops: [{ name: 'stop-1', backendServer: 'model-1', startsAt: Date.parse('2026-03-02T21:00:00Z') }]
      }
    })
  })

  it('ignores a byte order mark, CRLF and blank rows', () => {
    const text = `\uFEFF${[HEADER, ...validRows().flatMap((row) => [row, '', ','.repeat(19)]), ''].join('\r\n')}`
    expect(parseSheet(text)).toEqual(parseRows(validRows()))
  })

  it('parses a planned stop of a zone, also from its canonical form', () => {
    const parsed = parseRows([...validRows().slice(0, -1), stopRow({ backendServer: '', availabilityZone: 'venkov-a' })])
    expect(parsed.ok && parsed.value.plannedStops).toEqual([{ name: 'stop-1', availabilityZone: 'venkov-a', startsAt: Date.parse('2026-03-02T21:00:00Z') }])
    expect(parsed.ok && parseSheet(serializeSheet(parsed.value))).toEqual(parsed)
  })

  it('round-trips the canonical form', () => {
    const parsed = parseRows([...validRows()].reverse())
    expect(parsed.ok && parseSheet(serializeSheet(parsed.value))).toEqual(parsed)
  })

  it.each([
    ['an empty file', '', '1:1 the sheet is empty'],
    ['a header alone', `${HEADER}\n`, '2:1 the sheet has a header but no records'],
    ['semicolons', `${HEADER.replaceAll(',', ';')}\n`, '1:1 cells must be separated by commas'],
    ['an unknown column', `${HEADER},colour\n`, '1:21 unknown column "colour"'],
    ['a missing column', `${HEADER.replace(',endsAt', '')}\n`, '1:20 column "endsAt" is missing'],
    ['a duplicate column', `${HEADER},name\n`, '1:21 column "name" stands twice'],
    ['an open quote', `${HEADER}\nclientAccount,"x\n`, 'not readable as CSV']
  ])('refuses %s', (_, text, problem) => {
    expect(listProblems(text)[0]).toContain(problem)
  })

  it.each([
    ['an unknown record', createRow({ record: 'machine' }), 1, 'record "machine" must be one of'],
    ['a cell that the record does not use', accountRow({ name: 'b', keySha256: 'b'.repeat(64), url: 'http://10.0.0.1' }), 9, 'a clientAccount has no url'],
    ['a missing name', accountRow({ name: '', keySha256: 'b'.repeat(64) }), 2, 'name is missing'],
    ['a name with a space', accountRow({ name: 'a b', keySha256: 'b'.repeat(64) }), 2, 'name "a b" must be'],
    ['a weight of zero', accountRow({ name: 'b', keySha256: 'b'.repeat(64), weight: '0' }), 3, 'weight "0" must be a number from 0.001, up to 1000000'],
    ['a short key hash', accountRow({ name: 'b', keySha256: 'abc' }), 4, 'keySha256 must be SHA-256 hashes'],
    ['a missing key hash', accountRow({ name: 'b', keySha256: '' }), 4, 'keySha256 is missing'],
    ['a key of two accounts', accountRow({ name: 'b' }), 4, 'the key is already given to client account "podlipan"'],
    ['a load limit of one', serviceRow({ name: 'b', loadLimit: '1' }), 6, 'loadLimit "1" must be a number above 1'],
    ['a target at the limit', serviceRow({ name: 'b', loadLimit: '1.5', loadTarget: '1.5' }), 7, 'loadTarget 1.5 must be below loadLimit 1.5'],
    ['an unknown kind', serviceRow({ name: 'b', kind: 'gpu' }), 5, 'kind "gpu" must be model or plain'],
    ['a service without servers', serviceRow({ name: 'b' }), 2, 'service "b" has no backendServer'],
    ['a duplicate name', serverRow({ url: 'http://10.0.1.9' }), 2, 'name "model-1" stands twice'],
    ['a duplicate url', serverRow({ name: 'b', url: 'http://10.0.1.4:8000/' }), 9, 'belongs to another backendServer'],
    ['a url with a path', serverRow({ name: 'b', url: 'http://10.0.1.9/v1' }), 9, 'must be an origin'],
    ['a url with a password', serverRow({ name: 'b', url: 'http://a:b@10.0.1.9' }), 9, 'must be an origin'],
    ['a fractional number of slots', serverRow({ name: 'b', url: 'http://10.0.1.9', slots: '0.5' }), 11, 'slots "0.5" must be a whole number from 1'],
    ['a missing service', serverRow({ name: 'b', url: 'http://10.0.1.9', service: 'till' }), 8, 'service "till" is not in the sheet'],
    ['a model of two routes', routeRow({ name: 'b' }), 12, 'model "counter-7b" belongs to another route already'],
    ['a path to a model service', routeRow({ name: 'b', model: 'x', path: '/x' }), 13, 'a route to a service of kind model has no path'],
    ['a flag that is neither yes nor no', routeRow({ name: 'b', model: 'x', repeatable: 'true' }), 14, 'repeatable "true" must be yes or no'],
    ['an object property as a flag', routeRow({ name: 'b', model: 'x', repeatable: 'constructor' }), 14, 'must be yes or no'],
    ['a stop of a missing server', stopRow({ name: 'b', backendServer: 'model-9' }), 18, 'backendServer "model-9" is not in the sheet'],
    ['a stop of a zone without servers', stopRow({ name: 'b', backendServer: '', availabilityZone: 'venkov-z' }), 10, 'availabilityZone "venkov-z" is not in the sheet'],
    ['a stop of a server and a zone', stopRow({ name: 'b', availabilityZone: 'venkov-a' }), 10, 'availabilityZone must be blank where backendServer is given'],
    ['a stop of nothing', stopRow({ name: 'b', backendServer: '' }), 18, 'backendServer is missing'],
    ['a time without offset', stopRow({ name: 'b', startsAt: '2026-03-02T22:00:00' }), 19, 'must be an ISO 8601 time with its offset'],
    ['an end before the start', stopRow({ name: 'b', endsAt: '2026-03-02T22:00:00+01:00' }), 20, 'endsAt must be after startsAt'],
    ['a row that is too long', `${accountRow({ name: 'b', keySha256: 'b'.repeat(64) })},x`, 21, 'the row has 21 cells, the header has 20']
  ])('places %s at its line and column', (_, row, column, message) => {
    const problems = listProblems([HEADER, ...validRows(), row].join('\n'))
    expect(problems.filter((problem) => problem.startsWith(`7:${column} `) && problem.includes(message))).toHaveLength(1)
  })

  it('reports every problem of a sheet at once, in the order of lines', () => {
    const problems = listProblems([HEADER, accountRow({ weight: 'x' }), serviceRow({ kind: '' }), serverRow({ slots: '-1' }), routeRow({ service: 'none' })].join('\n'))
    expect(problems.map((problem) => problem.split(' ')[0])).toEqual(['2:3', '3:5', '4:11', '5:8'])
  })
})
