/** Links to the other members, one a member address, shared by all groups. */
import { type CallOptions, type Method, type MethodRouter, PeerLink } from '../wire/index.js';

/** Reaches other processes by their announced addresses. */
export interface PeerCaller {
  call<Request, Response>(
    address: string,
    method: Method<Request, Response>,
    request: Request,
    options: CallOptions,
  ): Promise<Response>;

  /** Whether a call would be sent now rather than fail at once. */
  isConnected(address: string): boolean;
}

/** Sends notices to other processes by their announced addresses. */
export interface PeerNotifier {
  notify<Request>(address: string, method: Method<Request, void>, request: Request): void;
}

export interface PeerDirectoryOptions {
  ownName: string;
  secret: string;
  router: MethodRouter;
  /** Turns a member's address into the one to connect to. */
  resolveAddress: (address: string) => string;
}

export class PeerDirectory implements PeerCaller, PeerNotifier {
  private readonly links = new Map<string, PeerLink>();

  constructor(private readonly options: PeerDirectoryOptions) {}

  call<Request, Response>(
    address: string,
    method: Method<Request, Response>,
    request: Request,
    options: CallOptions,
  ): Promise<Response> {
    return this.link(address).call(method, request, options);
  }

  /** Sends a notice if the link is up; nothing tells whether it arrived. */
  notify<Request>(address: string, method: Method<Request, void>, request: Request): void {
    this.link(address).notify(method, request);
  }

  isConnected(address: string): boolean {
    return this.link(address).isConnected;
  }

  /** Calls once the link is up, which a first call to a peer would not wait for. */
  async callWhenConnected<Request, Response>(
    address: string,
    method: Method<Request, Response>,
    request: Request,
    { connectMs, ...options }: CallOptions & { connectMs: number },
  ): Promise<Response> {
    await this.link(address).waitConnected(connectMs);
    return this.call(address, method, request, options);
  }

  private link(address: string): PeerLink {
    let link = this.links.get(address);
    if (!link) {
      const { ownName, secret, router } = this.options;
      const target = this.options.resolveAddress(address);
      link = new PeerLink({ address: target, ownName, secret, router });
      this.links.set(address, link);
    }
    return link;
  }

  /** Bytes sent and received over all links so far. */
  get totalTraffic(): { received: number; sent: number } {
    const totals = { received: 0, sent: 0 };
    for (const link of this.links.values()) {
      totals.received += link.totalTraffic.received;
      totals.sent += link.totalTraffic.sent;
    }
    return totals;
  }

  close(): void {
    for (const link of this.links.values()) link.close();
  }
}
