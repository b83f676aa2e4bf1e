/** Links that can be cut in silence: requests get no answer, late answers are lost. */
import type { PeerCaller } from '../../src/consensus/index.js';
import { TimeoutError, sleep } from '../../src/common/index.js';
import type { CallOptions, Method } from '../../src/wire/index.js';

export class SwitchedPeers implements PeerCaller {
  isCut = false;

  constructor(private readonly peers: PeerCaller) {}

  async call<Request, Response>(
    address: string,
    method: Method<Request, Response>,
    request: Request,
    options: CallOptions,
  ): Promise<Response> {
    const response = this.isCut
      ? undefined
      : await this.peers.call(address, method, request, options);
    if (!this.isCut && response !== undefined) return response;
    await sleep(options.timeoutMs);
    throw new TimeoutError('no response in time', {
      step: method.name,
      peer: address,
      retriable: true,
    });
  }

  isConnected(address: string): boolean {
    return this.peers.isConnected(address);
  }
}
