/** Divides the admitted programs of a priority among tenants by max-min fairness of their offered rates. */
import type { TenantFraction } from './messages.js';

/** Offered programs per second by tenant; programs without a tenant are not part of the division. */
export type TenantRates = ReadonlyMap<string, number>;

/** @returns the tenants that offer more than their share; the others are admitted entirely */
export function limitedTenants(rates: TenantRates, fraction: number): TenantFraction[] {
  if (fraction >= 1) return [];
  const level = fairLevel([...rates.values()], fraction);
  const limited: TenantFraction[] = [];
  for (const [tenant, rate] of rates) {
    if (rate > level) limited.push({ tenant, fraction: level / rate });
  }
  return limited;
}

/** The rate up to which each tenant is admitted, so that all together are admitted by the fraction. */
function fairLevel(rates: number[], fraction: number): number {
  const ascending = rates.sort((left, right) => left - right);
  let available = ascending.reduce((sum, rate) => sum + rate, 0) * fraction;
  for (const [index, rate] of ascending.entries()) {
    const share = available / (ascending.length - index);
    if (rate >= share) return share;
    available -= rate;
  }
  return Infinity;
}
