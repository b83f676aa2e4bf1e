/** Headers as Node and undici give them: names and values in turn, as they came. */

/** All values of a header, by its name in lower case. */
export function headerValues(rawHeaders: readonly string[], name: string): string[] {
  const values: string[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    if (rawHeaders[index]!.toLowerCase() === name) values.push(rawHeaders[index + 1]!);
  }
  return values;
}

/** The first value of a header, by its name in lower case. */
export function firstHeader(rawHeaders: readonly string[], name: string): string | undefined {
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    if (rawHeaders[index]!.toLowerCase() === name) return rawHeaders[index + 1];
  }
  return undefined;
}
