/** Finds the route of a call by host and longest path prefix. */
import type { Route, RouteConfiguration, Service } from './route-configuration.js';
import { WeightedRoundRobin } from './weighted-round-robin.js';

/** Tokens per event of a service without an engine. */
const DEFAULT_TOKENS_PER_EVENT = 1;

/** A route of one configuration, with its services and the state of its weighted round robin. */
export class CompiledRoute {
  private readonly roundRobin: WeightedRoundRobin;

  /** @param services of the configuration that has the route, by name */
  constructor(
    readonly route: Route,
    private readonly services: ReadonlyMap<string, Service>,
  ) {
    this.roundRobin = new WeightedRoundRobin(route.parts.map((part) => part.weight));
  }

  /** Selects the service of the next call. */
  nextService(): string {
    return this.route.parts[this.roundRobin.next()]!.service;
  }

  /**
   * Tokens that an event of a service's streams counts for calls on this route. Later configurations do not change it, so
   * that a call is settled at the price at which its tokens were reserved.
   * @param service one of the route's services
   */
  tokensPerEvent(service: string): number {
    return this.services.get(service)?.engine?.tokensPerEvent ?? DEFAULT_TOKENS_PER_EVENT;
  }
}

export class RouteTable {
  private readonly routesByHost = new Map<string, CompiledRoute[]>();
  private readonly services: ReadonlyMap<string, Service>;

  constructor(readonly configuration: RouteConfiguration) {
    this.services = new Map(configuration.services.map((service) => [service.name, service]));
    for (const route of configuration.routes) {
      const host = route.host.toLowerCase();
      const routes = this.routesByHost.get(host) ?? [];
      routes.push(new CompiledRoute(route, this.services));
      this.routesByHost.set(host, routes);
    }
    for (const routes of this.routesByHost.values()) {
      routes.sort((left, right) => right.route.pathPrefix.length - left.route.pathPrefix.length);
    }
  }

  find(host: string, path: string): CompiledRoute | undefined {
    const routes = this.routesByHost.get(host.toLowerCase());
    return routes?.find(({ route }) => path.startsWith(route.pathPrefix));
  }

  service(name: string): Service | undefined {
    return this.services.get(name);
  }
}
