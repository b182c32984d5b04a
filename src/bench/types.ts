/** What a bench prints, and what it can be asked for. */

export type Cell = string | number

export type Table = {
  readonly title: string
  readonly columns: readonly string[]
  readonly rows: readonly (readonly Cell[])[]
}

export type BenchOptions = {
  /** Smaller sizes, for under a minute in all. */
  readonly fast: boolean
  readonly seed: number
  /** Only the deployment or size of this name, where a bench has several. */
  readonly only?: string
}

export type Bench = (options: BenchOptions) => Promise<readonly Table[]>
