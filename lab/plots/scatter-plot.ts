/** Scatter plots with a fitted line as SVG. */

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

/** Draws plots in a grid. */
export function drawScatterPlots(plots: readonly ScatterPlot[]): string {
  const rows = Math.ceil(plots.length / COLUMNS);
  const cells = plots.map((plot, index) => {
    const x = (index % COLUMNS) * WIDTH;
    const y = Math.floor(index / COLUMNS) * HEIGHT;
    return `<g transform="translate(${x} ${y})">${drawPlot(plot)}</g>`;
  });
  return createSvg(COLUMNS * WIDTH, rows * HEIGHT, cells.join('\n'));
}

export function createSvg(width: number, height: number, content: string): string {
  return (
    `<svg xmlns="http://www.w3.org/2000/svg" width="${width}" height="${height}" ` +
    `viewBox="0 0 ${width} ${height}" font-family="sans-serif" font-size="11">\n` +
    `<rect width="100%" height="100%" fill="white"/>\n${content}\n</svg>\n`
  );
}

export function escapeXml(text: string): string {
  return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;');
}

/** Formats a number with three significant digits and an SI prefix. */
export function formatNumber(value: number): string {
  const size = Math.abs(value);
  if (size >= 1e9) return `${roundToThreeDigits(value / 1e9)} G`;
  if (size >= 1e6) return `${roundToThreeDigits(value / 1e6)} M`;
  if (size >= 1e4) return `${roundToThreeDigits(value / 1e3)} k`;
  return String(roundToThreeDigits(value));
}

function roundToThreeDigits(value: number): number {
  return Number(value.toPrecision(3));
}

function drawPlot(plot: ScatterPlot): string {
  const maxX = Math.max(...plot.points.map((point) => point.x)) || 1;
  const maxY = Math.max(...plot.points.map((point) => point.y)) * 1.1 || 1;
  const plotWidth = WIDTH - MARGIN.left - MARGIN.right;
  const plotHeight = HEIGHT - MARGIN.top - MARGIN.bottom;
  const toPixelX = (x: number): number => MARGIN.left + (x / maxX) * plotWidth;
  const toPixelY = (y: number): number => MARGIN.top + plotHeight - (y / maxY) * plotHeight;
  const { slope, intercept } = plot.line;
  const parts = [
    `<text x="${MARGIN.left}" y="18" font-weight="bold">${escapeXml(plot.title)}</text>`,
    `<text x="${MARGIN.left}" y="${HEIGHT - 8}">${escapeXml(plot.xLabel)}</text>`,
    `<text x="${MARGIN.left}" y="30" fill="#666">${escapeXml(plot.yLabel)}</text>`,
    `<path d="M${MARGIN.left} ${MARGIN.top}V${toPixelY(0)}H${toPixelX(maxX)}" fill="none" stroke="#444"/>`,
    `<line x1="${toPixelX(0)}" y1="${toPixelY(Math.max(0, intercept))}" x2="${toPixelX(maxX)}" ` +
      `y2="${toPixelY(intercept + slope * maxX)}" stroke="#c33"/>`,
    ...plot.points.map(
      ({ x, y }) => `<circle cx="${toPixelX(x)}" cy="${toPixelY(y)}" r="3" fill="#236"/>`,
    ),
  ];
  for (let tick = 1; tick <= TICKS; tick += 1) {
    const x = (maxX * tick) / TICKS;
    const y = (maxY * tick) / TICKS;
    parts.push(
      `<text x="${toPixelX(x)}" y="${toPixelY(0) + 14}" text-anchor="end" fill="#444">${formatNumber(x)}</text>`,
      `<text x="${MARGIN.left - 4}" y="${toPixelY(y) + 4}" text-anchor="end" fill="#444">${formatNumber(y)}</text>`,
    );
  }
  return parts.join('\n');
}
