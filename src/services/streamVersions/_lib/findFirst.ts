/** Resolves with the first value that any of the promises gives, or with `undefined` when none gives one. */
export const findFirst = <Value>(promises: readonly Promise<Value | undefined>[]): Promise<Value | undefined> => new Promise((resolve) => {
  const settled = promises.map(async (promise) => {
    const value = await promise
    if (value !== undefined) resolve(value)
  })
  Promise.all(settled).then(() => resolve(undefined))
})
