/**
 * The micro-kernel: a registry in which services find each other by name, and
 * which starts and stops them in the order of their dependencies. It has no
 * knowledge of what the services do.
 */

/** A service as the kernel runs it: its public interface and its life cycle. */
export type RunningService<Api> = {
  readonly api: Api
  readonly start?: () => void | Promise<void>
  readonly stop?: () => void | Promise<void>
}

export type ServiceDefinition<Services, Name extends keyof Services> = {
  readonly name: Name
  /** Services that are created and started before this one, and stopped after it. */
  readonly dependsOn: readonly (keyof Services)[]
  readonly create: (resolve: <Other extends keyof Services>(name: Other) => Services[Other]) => RunningService<Services[Name]>
}

export type Kernel<Services> = {
  readonly register: <Name extends keyof Services>(definition: ServiceDefinition<Services, Name>) => void
  /** Returns a service by its name. Throws if it has not been created, which is an error in the assembly. */
  readonly resolve: <Name extends keyof Services>(name: Name) => Services[Name]
  readonly isRunning: (name: keyof Services) => boolean
  readonly start: () => Promise<void>
  /** Stops the started services in reverse order. A second call waits for the first. */
  readonly stop: () => Promise<void>
}

type AnyDefinition<Services> = {
  readonly name: keyof Services
  readonly dependsOn: readonly (keyof Services)[]
  readonly create: (resolve: <Other extends keyof Services>(name: Other) => Services[Other]) => RunningService<unknown>
}

/**
 * Creates an empty kernel.
 *
 * Definitions can be registered in any order. `start` creates and starts services
 * in the order of their dependencies, and `stop` stops them in reverse order. If
 * one fails to start, those already running are stopped and the error is
 * rethrown.
 *
 * @returns A kernel for the services that `Services` maps by name.
 *
 * @example
 * const kernel = createKernel<{ greeter: { greet: () => string } }>()
 * kernel.register({ name: 'greeter', dependsOn: [], create: () => ({ api: { greet: () => 'hello' } }) })
 * await kernel.start()
 * kernel.resolve('greeter').greet() // => 'hello'
 */
export const createKernel = <Services>(): Kernel<Services> => {
  const definitions = new Map<keyof Services, AnyDefinition<Services>>()
  const running = new Map<keyof Services, RunningService<unknown>>()
  let stopping: Promise<void> | undefined

  const resolve = <Name extends keyof Services>(name: Name): Services[Name] => {
    const service = running.get(name)
    if (service === undefined) throw new Error(`service ${String(name)} is not running; is it missing from dependsOn?`)
    return service.api as Services[Name]
  }

  const stopRunning = async (): Promise<void> => {
    for (const service of [...running.values()].reverse()) await service.stop?.()
  }

  return {
    register: (definition) => {
      if (definitions.has(definition.name)) throw new Error(`service ${String(definition.name)} is registered twice`)
      definitions.set(definition.name, definition)
    },
    resolve,
    isRunning: (name) => running.has(name),
    start: async () => {
      for (const definition of orderByDependency(definitions)) {
        const service = definition.create(resolve)
        running.set(definition.name, service)
        try {
          await service.start?.()
        } catch (error) {
          await stopRunning()
          throw error
        }
      }
    },
    stop: () => {
      stopping ??= stopRunning()
      return stopping
    }
  }
}

const orderByDependency = <Services>(definitions: ReadonlyMap<keyof Services, AnyDefinition<Services>>): readonly AnyDefinition<Services>[] => {
  const ordered = new Set<AnyDefinition<Services>>()
  const visit = (name: keyof Services, path: readonly (keyof Services)[]): void => {
    if (path.includes(name)) throw new Error(`services depend on each other in a circle: ${[...path, name].join(' -> ')}`)
    const definition = definitions.get(name)
    if (definition === undefined) throw new Error(`service ${String(name)} is not registered, needed by ${path.join(' -> ')}`)
    if (ordered.has(definition)) return
    for (const dependency of definition.dependsOn) visit(dependency, [...path, name])
    ordered.add(definition)
  }
  for (const name of definitions.keys()) visit(name, [])
  return [...ordered]
}
