/** Options and results of a benchmark. */

export type Cell = string | number

export type Table = {
  readonly title: string
  readonly columns: readonly string[]
  readonly rows: readonly (readonly Cell[])[]
}

export type BenchOptions = {
  /** Uses smaller sizes, so that the run takes under a minute. */
  readonly fast: boolean
  readonly seed: number
  /** Runs only the deployment or size of this name, where a benchmark has several. */
  readonly only?: string
}

export type Bench = (options: BenchOptions) => Promise<readonly Table[]>
