/** Validates route configurations before they are replicated. */
import { InvalidRouteConfigurationError } from './errors.js';
import { DEFAULT_RESPONSE_LIMITS } from './response-limits.js';
import type { ResponseLimits, Route, RouteConfiguration, Tenant } from './route-configuration.js';

/** @throws InvalidRouteConfigurationError with the first violated condition */
export function validateRouteConfiguration(configuration: RouteConfiguration): void {
  const services = new Set(configuration.services.map((service) => service.name));
  require(services.size === configuration.services.length, 'two services have the same name');
  const hostPrefixes = new Set<string>();
  for (const route of configuration.routes) {
    validateRoute(route, services);
    const hostPrefix = `${route.host.toLowerCase()} ${route.pathPrefix}`;
    require(!hostPrefixes.has(hostPrefix), `duplicate host and prefix ${hostPrefix}`);
    hostPrefixes.add(hostPrefix);
  }
  validateTenants(configuration.tenants ?? []);
  validateResponseLimits(configuration.responseLimits ?? DEFAULT_RESPONSE_LIMITS);
}

function validateResponseLimits(limits: ResponseLimits): void {
  const { maxEventBytes, maxResponseBytes, maxTurnBytes } = limits;
  require(maxEventBytes > 0, 'maxEventBytes is not positive');
  require(maxResponseBytes > 0, 'maxResponseBytes is not positive');
  require(maxTurnBytes > 0, 'maxTurnBytes is not positive');
}

/** Error messages must not contain key hashes. */
function validateTenants(tenants: readonly Tenant[]): void {
  const names = new Set<string>();
  const ownerByKey = new Map<string, string>();
  for (const tenant of tenants) {
    const { name, ratePerSecond, burst, keyHashes } = tenant;
    require(name.length > 0, 'a tenant has no name');
    require(!names.has(name), `two tenants have the name ${name}`);
    names.add(name);
    require(ratePerSecond >= 0, `tenant ${name}: rate is negative`);
    require(burst >= 0, `tenant ${name}: burst is negative`);
    for (const hash of keyHashes) {
      const owner = ownerByKey.get(hash) ?? name;
      require(owner === name, `tenants ${owner} and ${name} have a key in common`);
      ownerByKey.set(hash, name);
    }
  }
}

function validateRoute(route: Route, services: ReadonlySet<string>): void {
  const { name, parts } = route;
  require(route.host.length > 0, `route ${name}: no host`);
  require(isPrefix(route.pathPrefix), `route ${name}: prefix must start and end with a slash`);
  require(route.timeoutMs > 0, `route ${name}: timeoutMs is not positive`);
  require(route.maxAttempts >= 1, `route ${name}: maxAttempts is less than 1`);
  require(parts.length > 0, `route ${name}: no parts`);
  for (const part of parts) {
    require(services.has(part.service), `route ${name}: unknown service ${part.service}`);
    require(part.weight >= 0, `route ${name}: negative weight`);
  }
  const sum = parts.reduce((total, part) => total + part.weight, 0);
  require(sum > 0, `route ${name}: sum of weights is zero`);
}

function isPrefix(prefix: string): boolean {
  return prefix.startsWith('/') && prefix.endsWith('/');
}

function require(condition: boolean, reason: string): asserts condition {
  if (!condition) throw new InvalidRouteConfigurationError(reason);
}
