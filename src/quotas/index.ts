/**
 * Distributed rate limiting of tenants: the leader leases shares of each tenant's limit to the gateways, which
 * enforce them with token buckets. docs/design/quotas.md states the bound and why it holds.
 */
export { GatewayQuotas, type GatewayQuotasOptions, type QuotaDecision } from './gateway-quotas.js';
export type { SharesRequest, SharesResponse } from './messages.js';
export { type QuotaTolerance, isLimited } from './quota-budget.js';
export { QuotaLeader, type QuotaLeaderOptions } from './quota-leader.js';
