/** Parser of the Prometheus text format in which the daemons expose their metrics. */

/** Sample of a metric. */
export interface MetricSample {
  labels: Record<string, string>
  value: number
}

const SAMPLE = /^([A-Za-z_:][\w:]*)(?:\{(.*)\})? (\S+)$/
const LABEL = /([A-Za-z_]\w*)="((?:[^"\\]|\\.)*)"/g

/** Parses all samples, grouped by metric name. Lines that are not samples are skipped. */
export function parseExposition (text: string): Map<string, MetricSample[]> {
  const metrics = new Map<string, MetricSample[]>()
  for (const line of text.split('\n')) {
    const match = SAMPLE.exec(line)
    if (match === null) continue
    const [, name = '', labels = '', value = ''] = match
    const samples = metrics.get(name) ?? []
    samples.push({ labels: parseLabels(labels), value: Number(value) })
    metrics.set(name, samples)
  }
  return metrics
}

function parseLabels (text: string): Record<string, string> {
  const pairs = [...text.matchAll(LABEL)].map(([, label = '', value = '']) => [label, unescape(value)])
  return Object.fromEntries(pairs)
}

function unescape (text: string): string {
  return text.replace(/\\(.)/g, (_, character: string) => character === 'n' ? '\n' : character)
}
