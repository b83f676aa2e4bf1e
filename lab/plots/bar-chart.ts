/** Horizontal bars in groups, as SVG. */
import { escapeText, formatTick, svgDocument } from './scatter-plot.js';

export interface Bar {
  label: string;
  value: number;
  /** Drawn in the colour of ours rather than of a baseline. */
  isOurs: boolean;
}

export interface BarGroup {
  title: string;
  bars: readonly Bar[];
}

const WIDTH = 640;
const LABEL_WIDTH = 190;
const BAR_HEIGHT = 16;
const GROUP_GAP = 26;
const OURS = '#236';
const BASELINE = '#aab';

export function drawBarChart(title: string, groups: readonly BarGroup[]): string {
  const longest = Math.max(...groups.flatMap((group) => group.bars.map((bar) => bar.value))) || 1;
  const parts = [`<text x="8" y="20" font-weight="bold">${escapeText(title)}</text>`];
  let top = 30;
  for (const group of groups) {
    top += GROUP_GAP;
    parts.push(`<text x="8" y="${top - 8}" fill="#444">${escapeText(group.title)}</text>`);
    for (const bar of group.bars) {
      parts.push(drawBar(bar, top, longest));
      top += BAR_HEIGHT;
    }
  }
  return svgDocument(WIDTH, top + 12, parts.join('\n'));
}

function drawBar(bar: Bar, top: number, longest: number): string {
  const width = (bar.value / longest) * (WIDTH - LABEL_WIDTH - 80);
  const colour = bar.isOurs ? OURS : BASELINE;
  const textTop = top + BAR_HEIGHT - 5;
  return [
    `<text x="${LABEL_WIDTH - 6}" y="${textTop}" text-anchor="end">${escapeText(bar.label)}</text>`,
    `<rect x="${LABEL_WIDTH}" y="${top + 2}" width="${width}" height="${BAR_HEIGHT - 4}" fill="${colour}"/>`,
    `<text x="${LABEL_WIDTH + width + 5}" y="${textTop}">${formatTick(bar.value)}</text>`,
  ].join('\n');
}
