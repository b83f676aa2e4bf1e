/**
 * Lets all hollow nodes of one process share the items of a fetched document, as they share the
 * process. A real gateway holds its own copy; what that takes is measured by `slopes`.
 */
import type { IntentDocument } from '../../src/intents/index.js';
import { decodeConfigurationDocument } from '../../src/membership/index.js';

const REVISIONS_KEPT = 64;

export class SharedDocuments {
  private readonly documents = new Map<number, Promise<IntentDocument>>();

  /** Decodes a fetched document once for all nodes. */
  decode(bytes: Uint8Array, revision: number): Promise<IntentDocument> {
    const known = this.documents.get(revision);
    if (known) return known;
    const decoded = decodeConfigurationDocument(bytes);
    this.documents.set(revision, decoded);
    for (const oldest of this.documents.keys()) {
      if (this.documents.size <= REVISIONS_KEPT) break;
      this.documents.delete(oldest);
    }
    return decoded;
  }
}
