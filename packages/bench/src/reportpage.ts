/** The report page: a self-contained HTML page with one SVG per plot. */
import { mkdir, writeFile } from 'node:fs/promises'
import { join } from 'node:path'

import { parse, View } from 'vega'
import type { TopLevelSpec } from 'vega-lite'
import { compile } from 'vega-lite'

import type { Plot } from './plots.ts'
import { plots, rowsOf } from './plots.ts'
import type { Row } from './sectiontypes.ts'

const PANEL_HEIGHT = 240
const PAGE_WIDTH = 960

/** Writes the page to a folder and resolves to its path. Plots without rows are left out. */
export async function writeReport (folder: string, results: Readonly<Record<string, readonly Row[]>>): Promise<string> {
  await mkdir(folder, { recursive: true })
  const figures: string[] = []
  for (const plot of plots) {
    const rows = rowsOf(plot, results)
    if (rows.length > 0) figures.push(figureOf(plot, await drawPlot(plot, rows)))
  }
  const file = join(folder, 'index.html')
  await writeFile(file, pageOf('Bench of amaranthmast', figures))
  return file
}

/** Renders a plot as SVG. */
export async function drawPlot (plot: Plot, rows: readonly Row[]): Promise<string> {
  const view = new View(parse(compile(specification(plot, rows)).spec), { renderer: 'none' })
  return await view.toSVG()
}

function specification (plot: Plot, rows: readonly Row[]): TopLevelSpec {
  const folded = plot.values.length > 1
  const panels = new Set(plot.panels === undefined ? [] : rows.map(row => row[plot.panels as string]))
  const width = Math.max(140, PAGE_WIDTH / Math.min(2, Math.max(1, panels.size)) - 120)
  const layer = [
    ...layers(plot, folded),
    ...(plot.goal === undefined ? [] : [{ mark: { type: 'rule' as const, strokeDash: [4, 4], color: '#b00' }, encoding: { y: { datum: plot.goal } } }])
  ]
  const inner = { width, height: PANEL_HEIGHT, layer }
  const common = {
    data: { values: rows.map(row => ({ ...row })) },
    ...(folded ? { transform: [{ fold: [...plot.values], as: ['figure', 'value'] as [string, string] }] } : {})
  }
  if (plot.panels === undefined) return { ...common, ...inner } as TopLevelSpec
  return { ...common, facet: { field: plot.panels, type: 'nominal', title: plot.panels }, columns: 2, spec: inner } as TopLevelSpec
}

function layers (plot: Plot, folded: boolean): object[] {
  const y = { field: folded ? 'value' : plot.values[0], type: 'quantitative', title: plot.yTitle }
  const series = folded ? 'figure' : plot.series
  const colour = series === undefined ? {} : { color: { field: series, type: 'nominal', title: null, sort: null } }
  if (plot.mark === 'line') {
    const scale = plot.logarithmic === true ? { scale: { type: 'log' } } : {}
    const x = { field: plot.x, type: 'quantitative', title: plot.xTitle, ...scale }
    return [{ mark: { type: 'line', point: !plot.x.startsWith('second') }, encoding: { x, y, ...colour } }]
  }
  const x = { field: plot.x, type: 'nominal', title: plot.xTitle, sort: null, axis: { labelAngle: -30 } }
  return [{ mark: { type: 'bar' }, encoding: { x, y, ...colour, ...(folded ? { xOffset: { field: 'figure', sort: null } } : {}) } }]
}

function figureOf ({ title, note }: Plot, svg: string): string {
  return `<section>\n<h2>${title}</h2>\n<p>${note}</p>\n${svg}\n</section>`
}

/** Returns a self-contained HTML page with the given sections. */
export function pageOf (title: string, sections: readonly string[]): string {
  return `<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>${title}</title>
<style>
body { font: 15px/1.5 sans-serif; max-width: ${PAGE_WIDTH}px; margin: 2em auto; padding: 0 1em; color: #222; }
svg { max-width: 100%; height: auto; }
section { margin-bottom: 2.5em; }
</style>
</head>
<body>
<h1>${title}</h1>
${sections.join('\n')}
</body>
</html>
`
}
