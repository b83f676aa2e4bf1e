/**
 * Lets all hollow nodes of one process share one copy of each revision's document, as they share the
 * process. A real gateway holds its own copy; what that takes is measured by `slopes`.
 */
import { type IntentDocument, applyChanges } from '../../src/intents/index.js';
import type { RenewLeaseRequest, RenewLeaseResponse } from '../../src/membership/index.js';

const REVISIONS_KEPT = 64;

export class SharedDocuments {
  private readonly documents = new Map<number, IntentDocument>();

  /** The same response with the shared copy of its document. */
  share(request: RenewLeaseRequest, response: RenewLeaseResponse): RenewLeaseResponse {
    if (!('grant' in response) || response.grant.update.kind === 'none') return response;
    const { grant } = response;
    const { revision } = response.grant.update;
    const document = this.documents.get(revision) ?? this.documentOf(request, grant.update);
    if (!document) return response;
    this.keep(revision, document);
    return { grant: { ...grant, update: { kind: 'document', revision, document } } };
  }

  private documentOf(
    request: RenewLeaseRequest,
    update: Extract<RenewLeaseResponse, { grant: unknown }>['grant']['update'],
  ): IntentDocument | undefined {
    if (update.kind === 'document') return update.document;
    const base = this.documents.get(request.revision);
    return base && update.kind === 'changes' ? applyChanges(base, update.changes) : undefined;
  }

  private keep(revision: number, document: IntentDocument): void {
    this.documents.set(revision, document);
    for (const known of this.documents.keys()) {
      if (this.documents.size <= REVISIONS_KEPT) return;
      this.documents.delete(known);
    }
  }
}
