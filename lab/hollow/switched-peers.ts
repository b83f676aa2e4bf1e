/** Links that can be cut in silence: requests get no answer, late answers are lost. */
import type { PeerCaller } from '../../src/consensus/index.js';
import { TimeoutError, sleep } from '../../src/common/index.js';
import {
  RENEW_LEASE,
  type RenewLeaseRequest,
  type RenewLeaseResponse,
} from '../../src/membership/index.js';
import type { CallOptions, Method } from '../../src/wire/index.js';
import type { SharedDocuments } from './shared-documents.js';

export class SwitchedPeers implements PeerCaller {
  isCut = false;

  constructor(
    private readonly peers: PeerCaller,
    private readonly documents: SharedDocuments | undefined,
  ) {}

  async call<Request, Response>(
    address: string,
    method: Method<Request, Response>,
    request: Request,
    options: CallOptions,
  ): Promise<Response> {
    const response = this.isCut
      ? undefined
      : await this.peers.call(address, method, request, options);
    if (!this.isCut && response !== undefined) return this.share(method, request, response);
    await sleep(options.timeoutMs);
    throw new TimeoutError('no response in time', {
      step: method.name,
      peer: address,
      retriable: true,
    });
  }

  private share<Request, Response>(
    method: Method<Request, Response>,
    request: Request,
    response: Response,
  ): Response {
    if (!this.documents || method.name !== RENEW_LEASE.name) return response;
    const shared = this.documents.share(
      request as RenewLeaseRequest,
      response as RenewLeaseResponse,
    );
    return shared as Response;
  }

  isConnected(address: string): boolean {
    return this.peers.isConnected(address);
  }
}
