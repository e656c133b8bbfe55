/** Metrics in the text format that monitoring systems scrape. */

/** Labels of one sample. */
export type Labels = Readonly<Record<string, string>>

/** One value with its labels. */
export interface Sample {
  labels: Labels
  value: number
}

/** Quantiles, sum and count of one distribution. */
export interface Summary {
  labels: Labels
  /** Value by quantile, such as 0.99. */
  quantiles: ReadonlyMap<number, number>
  sum: number
  count: number
}

/** Content type of the text. */
export const EXPOSITION_TYPE = 'text/plain; version=0.0.4; charset=utf-8'

/** Formats metrics as one text. */
export class Exposition {
  readonly #lines: string[] = []

  counter (name: string, help: string, samples: Iterable<Sample>): void {
    this.#family(name, help, 'counter', samples)
  }

  gauge (name: string, help: string, samples: Iterable<Sample>): void {
    this.#family(name, help, 'gauge', samples)
  }

  summary (name: string, help: string, summaries: Iterable<Summary>): void {
    this.#head(name, help, 'summary')
    for (const { labels, quantiles, sum, count } of summaries) {
      for (const [quantile, value] of quantiles) this.#sample(name, { ...labels, quantile: String(quantile) }, value)
      this.#sample(`${name}_sum`, labels, sum)
      this.#sample(`${name}_count`, labels, count)
    }
  }

  text (): string {
    return `${this.#lines.join('\n')}\n`
  }

  #family (name: string, help: string, type: string, samples: Iterable<Sample>): void {
    this.#head(name, help, type)
    for (const { labels, value } of samples) this.#sample(name, labels, value)
  }

  #head (name: string, help: string, type: string): void {
    this.#lines.push(`# HELP ${name} ${help}`, `# TYPE ${name} ${type}`)
  }

  #sample (name: string, labels: Labels, value: number): void {
    const pairs = Object.entries(labels).map(([label, text]) => `${label}="${escapeLabel(text)}"`)
    this.#lines.push(pairs.length === 0 ? `${name} ${value}` : `${name}{${pairs.join(',')}} ${value}`)
  }
}

function escapeLabel (text: string): string {
  return text.replace(/[\\"\n]/g, character => character === '\n' ? '\\n' : `\\${character}`)
}
