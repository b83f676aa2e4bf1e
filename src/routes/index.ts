/** Routes of forwarded calls: what operators declare, its checks, and the look-up. */
export * from './errors.js';
export * from './route-configuration.js';
export { CompiledRoute, RouteTable } from './route-table.js';
export { validateRouteConfiguration } from './validate-configuration.js';
export { WeightedRoundRobin } from './weighted-round-robin.js';
