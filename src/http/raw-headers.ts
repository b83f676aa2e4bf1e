/** Access to raw headers as Node and undici provide them: alternating names and values. */

/** Returns all values of a header. @param name in lower case */
export function headerValues(rawHeaders: readonly string[], name: string): string[] {
  const values: string[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    if (rawHeaders[index]!.toLowerCase() === name) values.push(rawHeaders[index + 1]!);
  }
  return values;
}

/** Returns the first value of a header. @param name in lower case */
export function firstHeader(rawHeaders: readonly string[], name: string): string | undefined {
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    if (rawHeaders[index]!.toLowerCase() === name) return rawHeaders[index + 1];
  }
  return undefined;
}
