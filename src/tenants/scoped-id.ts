/**
 * Scopes caller-chosen ids by tenant, so that equal ids of different tenants do not collide and a tenant can only refer
 * to its own objects.
 */

/** @param tenant undefined for anonymous callers, whose ids are not changed */
export function scopedId(tenant: string | undefined, id: string): string {
  // The length prefix makes the result unambiguous if names or ids contain the separator.
  return tenant === undefined ? id : `${tenant.length}:${tenant}:${id}`;
}
