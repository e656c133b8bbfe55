/** Counts of what became of the jobs of each kind at one entry, for status pages. */
import type { Reason } from './entrytypes.ts'

export interface KindCounts {
  offered: number
  admitted: number
  /** By cause. */
  refused: Partial<Record<Reason, number>>
  inTime: number
  late: number
}

export class AdmissionCounts {
  readonly #kinds = new Map<string, KindCounts>()

  of (kind: string): KindCounts {
    let counts = this.#kinds.get(kind)
    if (counts === undefined) {
      counts = { offered: 0, admitted: 0, refused: {}, inTime: 0, late: 0 }
      this.#kinds.set(kind, counts)
    }
    return counts
  }

  noteRefused (kind: string, cause: Reason): void {
    const { refused } = this.of(kind)
    refused[cause] = (refused[cause] ?? 0) + 1
  }

  noteAnswered (kind: string, inTime: boolean): void {
    this.of(kind)[inTime ? 'inTime' : 'late'] += 1
  }
}
