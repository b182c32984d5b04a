/**
 * In which order requests go out that were held for want of knowledge. The load
 * it answers: all nodes return at once, and what came while they were dark is let
 * go in one turn of a slow processor, so that the last one waits for all before it.
 */

export type HeldRequest = {
  /** Milliseconds until its goal; negative when that has passed. */
  readonly goalLeftMs: number
  /** Milliseconds until its caller gives up. */
  readonly deadlineLeftMs: number
  /** 0 is the most urgent. */
  readonly priority: number
}

/** Work of a backend server and the ways there and back: with less left, the goal is missed in any order. */
const LEAST_WORK_MS = 30

const isInTime = ({ goalLeftMs }: HeldRequest): boolean => goalLeftMs > LEAST_WORK_MS

const compare = (left: HeldRequest, right: HeldRequest): number => {
  if (isInTime(left) !== isInTime(right)) return isInTime(left) ? -1 : 1
  if (isInTime(left)) return left.goalLeftMs - right.goalLeftMs || left.priority - right.priority
  return left.priority - right.priority || left.deadlineLeftMs - right.deadlineLeftMs
}

/**
 * Orders held requests: first those that can still meet their goal, the one with
 * the least time left before the others; then the late ones, the most urgent first.
 *
 * @param held - The requests.
 * @returns The same in the order in which they go out.
 *
 * @example
 * orderHeld([{ goalLeftMs: 500, deadlineLeftMs: 900, priority: 0 }, { goalLeftMs: 90, deadlineLeftMs: 900, priority: 2 }])[0]?.goalLeftMs // => 90
 */
export const orderHeld = <Held extends HeldRequest>(held: readonly Held[]): readonly Held[] => [...held].sort(compare)
