/** Configuration leases of gateways, granted by the leader of the intents group. */
export {
  ConfigurationFetcher,
  type Configuration,
  decodeConfigurationDocument,
} from './configuration-fetcher.js';
export { LeaseHolder, type LeaseHolderOptions } from './lease-holder.js';
export { LeaseRegistry, type GatewayLease } from './lease-registry.js';
export * from './messages.js';
