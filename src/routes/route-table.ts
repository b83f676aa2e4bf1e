/** Finds the route of a call: the longest prefix of its host that begins the path. */
import type { Route, RouteConfiguration, Service } from './route-configuration.js';
import { WeightedRoundRobin } from './weighted-round-robin.js';

/** A route together with the running state of its weighted choice. */
export class CompiledRoute {
  private readonly choice: WeightedRoundRobin;

  constructor(readonly route: Route) {
    this.choice = new WeightedRoundRobin(route.parts.map((part) => part.weight));
  }

  /** The service that the next call goes to; shares follow the weights exactly over time. */
  nextService(): string {
    return this.route.parts[this.choice.next()]!.service;
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
      routes.push(new CompiledRoute(route));
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
