/**
 * Scopes caller-chosen ids by tenant, so that equal ids of different tenants do not collide and a caller can only refer
 * to objects of its own tenant, or, without a tenant, to those of callers without one.
 */

/** The scope of no tenant; tenants have names that are not empty. */
const ANONYMOUS_SCOPE = '0::';
/** The length of a name as `scopedId` writes it. */
const NAME_LENGTH = /^(0|[1-9]\d*):/;

/**
 * No two pairs of tenant and id have the same scoped id.
 * @param tenant undefined for anonymous callers, whose ids are only changed if they could be read as scoped, since
 *   objects of anonymous callers are stored under their plain ids
 */
export function scopedId(tenant: string | undefined, id: string): string {
  if (tenant === undefined) return isScoped(id) ? `${ANONYMOUS_SCOPE}${id}` : id;
  // The length prefix makes the result unambiguous if names or ids contain the separator.
  return `${tenant.length}:${tenant}:${id}`;
}

/** Whether an id has the form LENGTH:NAME:REST with a name of that length. */
function isScoped(id: string): boolean {
  const match = NAME_LENGTH.exec(id);
  if (!match) return false;
  const [prefix, length] = match;
  return id[prefix.length + Number(length)] === ':';
}
