/** Text of requests. */
import { MalformedBodyError } from './json-reader.js';

/** @throws MalformedBodyError when the bytes are not valid UTF-8 */
export function decodeUtf8(bytes: Buffer): string {
  try {
    return new TextDecoder('utf-8', { fatal: true }).decode(bytes);
  } catch {
    throw new MalformedBodyError('body is not valid UTF-8');
  }
}

/** @throws MalformedBodyError when a path segment is not encoded correctly */
export function decodePathSegment(segment: string): string {
  try {
    return decodeURIComponent(segment);
  } catch {
    throw new MalformedBodyError('the path cannot be decoded');
  }
}
