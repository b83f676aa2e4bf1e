/** Plain text tables. */

/** Formats rows below a header; each column is as wide as its widest cell. */
export function formatTable(header: string[], rows: string[][]): string {
  const widths = header.map((title, column) =>
    Math.max(title.length, ...rows.map((row) => (row[column] ?? '').length)),
  );
  const line = (cells: string[]): string =>
    cells
      .map((cell, column) => cell.padEnd(widths[column]!))
      .join('  ')
      .trimEnd();
  return [line(header), line(widths.map((width) => '-'.repeat(width))), ...rows.map(line)].join(
    '\n',
  );
}

export function formatMs(value: number): string {
  return `${Math.round(value)} ms`;
}

export function formatShare(value: number): string {
  return `${(value * 100).toFixed(1)} %`;
}
