/** Reads processor time and memory of a router process from its metrics. */

export type ProcessFigures = {
  /** Processor time so far, in seconds. */
  readonly cpuSeconds: number
  /** Resident memory now, in megabytes. */
  readonly memoryMegabytes: number
}

const BYTES_PER_MEGABYTE = 1_000_000

/**
 * Reads the resource usage of a router process.
 *
 * @param operatorUrl - Origin of its operator port.
 * @returns Processor time in seconds and resident memory in megabytes.
 *
 * @example
 * const { cpuSeconds } = await readProcessFigures('http://127.0.0.1:8081')
 */
export const readProcessFigures = async (operatorUrl: string): Promise<ProcessFigures> => {
  const text = await (await fetch(`${operatorUrl}/metrics`)).text()
  return {
    cpuSeconds: readMetric(text, 'process_cpu_seconds_total'),
    memoryMegabytes: readMetric(text, 'process_resident_memory_bytes') / BYTES_PER_MEGABYTE
  }
}

const readMetric = (text: string, name: string): number => {
  const value = new RegExp(`^\\w*${name}(?:\\{[^}]*\\})? ([0-9.e+-]+)`, 'm').exec(text)?.[1]
  if (value === undefined) throw new Error(`the router has no metric ${name}`)
  return Number(value)
}
