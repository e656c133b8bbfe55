/** Counts the outcomes of each queue's jobs at one entry, for status pages. */
import type { Reason } from './entrytypes.ts'

export interface QueueCounts {
  offered: number
  admitted: number
  /** Refused jobs by cause. */
  refused: Partial<Record<Reason, number>>
  inTime: number
  late: number
}

export class AdmissionCounts {
  readonly #queues = new Map<string, QueueCounts>()

  of (queue: string): QueueCounts {
    let counts = this.#queues.get(queue)
    if (counts === undefined) {
      counts = { offered: 0, admitted: 0, refused: {}, inTime: 0, late: 0 }
      this.#queues.set(queue, counts)
    }
    return counts
  }

  noteRefused (queue: string, cause: Reason): void {
    const { refused } = this.of(queue)
    refused[cause] = (refused[cause] ?? 0) + 1
  }

  noteAnswered (queue: string, inTime: boolean): void {
    this.of(queue)[inTime ? 'inTime' : 'late'] += 1
  }
}
