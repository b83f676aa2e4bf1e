/** Links to other members, one per address, shared by all groups. */
import { type CallOptions, type Method, type MethodRouter, PeerLink } from '../wire/index.js';

/** Calls other processes by their advertised addresses. */
export interface PeerCaller {
  call<Request, Response>(
    address: string,
    method: Method<Request, Response>,
    request: Request,
    options: CallOptions,
  ): Promise<Response>;

  /** Whether a call would be sent immediately instead of failing. */
  isConnected(address: string): boolean;
}

/** Sends notifications to other processes by their advertised addresses. */
export interface PeerNotifier {
  notify<Request>(address: string, method: Method<Request, void>, request: Request): void;
}

export interface PeerDirectoryOptions {
  ownName: string;
  secret: string;
  router: MethodRouter;
  /** Maps a member's advertised address to the address to connect to. */
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

  /** Sends a notification if the link is up. Delivery is not confirmed. */
  notify<Request>(address: string, method: Method<Request, void>, request: Request): void {
    this.link(address).notify(method, request);
  }

  isConnected(address: string): boolean {
    return this.link(address).isConnected;
  }

  /** Waits for the link before the call; a plain call fails if the link is not up yet. */
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

  /** Total bytes sent and received over all links. */
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
