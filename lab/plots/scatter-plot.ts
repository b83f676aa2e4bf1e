/** Small scatter plots with a fitted line, as SVG. */

export interface ScatterPlot {
  title: string;
  xLabel: string;
  yLabel: string;
  points: readonly { x: number; y: number }[];
  line: { slope: number; intercept: number };
}

const WIDTH = 380;
const HEIGHT = 250;
const MARGIN = { left: 62, right: 14, top: 34, bottom: 42 };
const TICKS = 4;
const COLUMNS = 2;

/** Draws several plots in a grid. */
export function drawScatterPlots(plots: readonly ScatterPlot[]): string {
  const rows = Math.ceil(plots.length / COLUMNS);
  const cells = plots.map((plot, index) => {
    const x = (index % COLUMNS) * WIDTH;
    const y = Math.floor(index / COLUMNS) * HEIGHT;
    return `<g transform="translate(${x} ${y})">${drawPlot(plot)}</g>`;
  });
  return svgDocument(COLUMNS * WIDTH, rows * HEIGHT, cells.join('\n'));
}

export function svgDocument(width: number, height: number, content: string): string {
  return (
    `<svg xmlns="http://www.w3.org/2000/svg" width="${width}" height="${height}" ` +
    `viewBox="0 0 ${width} ${height}" font-family="sans-serif" font-size="11">\n` +
    `<rect width="100%" height="100%" fill="white"/>\n${content}\n</svg>\n`
  );
}

export function escapeText(text: string): string {
  return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;');
}

/** A short number for an axis. */
export function formatTick(value: number): string {
  const size = Math.abs(value);
  if (size >= 1e9) return `${round(value / 1e9)} G`;
  if (size >= 1e6) return `${round(value / 1e6)} M`;
  if (size >= 1e4) return `${round(value / 1e3)} k`;
  return String(round(value));
}

function round(value: number): number {
  return Number(value.toPrecision(3));
}

function drawPlot(plot: ScatterPlot): string {
  const maximumX = Math.max(...plot.points.map((point) => point.x)) || 1;
  const maximumY = Math.max(...plot.points.map((point) => point.y)) * 1.1 || 1;
  const plotWidth = WIDTH - MARGIN.left - MARGIN.right;
  const plotHeight = HEIGHT - MARGIN.top - MARGIN.bottom;
  const atX = (x: number): number => MARGIN.left + (x / maximumX) * plotWidth;
  const atY = (y: number): number => MARGIN.top + plotHeight - (y / maximumY) * plotHeight;
  const { slope, intercept } = plot.line;
  const parts = [
    `<text x="${MARGIN.left}" y="18" font-weight="bold">${escapeText(plot.title)}</text>`,
    `<text x="${MARGIN.left}" y="${HEIGHT - 8}">${escapeText(plot.xLabel)}</text>`,
    `<text x="${MARGIN.left}" y="30" fill="#666">${escapeText(plot.yLabel)}</text>`,
    `<path d="M${MARGIN.left} ${MARGIN.top}V${atY(0)}H${atX(maximumX)}" fill="none" stroke="#444"/>`,
    `<line x1="${atX(0)}" y1="${atY(Math.max(0, intercept))}" x2="${atX(maximumX)}" ` +
      `y2="${atY(intercept + slope * maximumX)}" stroke="#c33"/>`,
    ...plot.points.map(({ x, y }) => `<circle cx="${atX(x)}" cy="${atY(y)}" r="3" fill="#236"/>`),
  ];
  for (let tick = 1; tick <= TICKS; tick += 1) {
    const x = (maximumX * tick) / TICKS;
    const y = (maximumY * tick) / TICKS;
    parts.push(
      `<text x="${atX(x)}" y="${atY(0) + 14}" text-anchor="end" fill="#444">${formatTick(x)}</text>`,
      `<text x="${MARGIN.left - 4}" y="${atY(y) + 4}" text-anchor="end" fill="#444">${formatTick(y)}</text>`,
    );
  }
  return parts.join('\n');
}
