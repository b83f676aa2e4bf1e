/** The parts in which received bytes are parsed. */
import { describe, expect, it } from 'vitest';
import { lengthOfFirstPart } from './received-part.js';

const HEAD = 'GET / HTTP/1.1\r\nHost: h\r\n\r\n';

function partsOf(text: string): string[] {
  const parts: string[] = [];
  for (let rest = Buffer.from(text); rest.length > 0;) {
    const length = lengthOfFirstPart(rest);
    parts.push(rest.toString('utf8', 0, length));
    rest = rest.subarray(length);
  }
  return parts;
}

describe('received bytes', () => {
  it('are divided behind each head', () => {
    expect(partsOf(HEAD.repeat(3))).toEqual([HEAD, HEAD, HEAD]);
  });

  it('are divided behind a head that ends with bare line feeds', () => {
    const head = HEAD.replaceAll('\r', '');
    expect(partsOf(head + head)).toEqual([head, head]);
  });

  it.each([1, 2, 3])(
    'are divided behind a head whose last %i bytes arrive with the next',
    (count) => {
      expect(partsOf(HEAD.slice(-count) + HEAD).at(-1)).toBe(HEAD);
    },
  );

  it('are one part if they have no line', () => {
    expect(partsOf('x'.repeat(70_000))).toHaveLength(1);
  });

  it('hold a bounded number of chunks in each part', () => {
    const parts = partsOf('1\r\nx\r\n'.repeat(1_000));
    const most = Math.max(...parts.map((part) => part.split('\n').length - 1));
    expect(most).toBeLessThanOrEqual(64);
    expect(parts.join('')).toHaveLength(6_000);
  });
});
