/** Grouped horizontal bar charts as SVG. */
import { createSvg, escapeXml, formatNumber } from './scatter-plot.js';

export interface Bar {
  label: string;
  value: number;
  /** Whether the bar is highlighted; other bars have the colour of baselines. */
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
const CANDIDATE_COLOUR = '#236';
const BASELINE_COLOUR = '#aab';

export function drawBarChart(title: string, groups: readonly BarGroup[]): string {
  const maxValue = Math.max(...groups.flatMap((group) => group.bars.map((bar) => bar.value))) || 1;
  const parts = [`<text x="8" y="20" font-weight="bold">${escapeXml(title)}</text>`];
  let top = 30;
  for (const group of groups) {
    top += GROUP_GAP;
    parts.push(`<text x="8" y="${top - 8}" fill="#444">${escapeXml(group.title)}</text>`);
    for (const bar of group.bars) {
      parts.push(drawBar(bar, top, maxValue));
      top += BAR_HEIGHT;
    }
  }
  return createSvg(WIDTH, top + 12, parts.join('\n'));
}

function drawBar(bar: Bar, top: number, maxValue: number): string {
  const width = (bar.value / maxValue) * (WIDTH - LABEL_WIDTH - 80);
  const colour = bar.isOurs ? CANDIDATE_COLOUR : BASELINE_COLOUR;
  const textTop = top + BAR_HEIGHT - 5;
  return [
    `<text x="${LABEL_WIDTH - 6}" y="${textTop}" text-anchor="end">${escapeXml(bar.label)}</text>`,
    `<rect x="${LABEL_WIDTH}" y="${top + 2}" width="${width}" height="${BAR_HEIGHT - 4}" fill="${colour}"/>`,
    `<text x="${LABEL_WIDTH + width + 5}" y="${textTop}">${formatNumber(bar.value)}</text>`,
  ].join('\n');
}
