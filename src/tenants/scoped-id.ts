/**
 * Ids that callers choose, made distinct by tenant: two tenants that use one id mean two things, and what one
 * tenant names is found among its own things only.
 */

/** @param tenant absent where callers have none; their ids stay as they are */
export function scopedId(tenant: string | undefined, id: string): string {
  // The length keeps names and ids apart that hold the separator themselves.
  return tenant === undefined ? id : `${tenant.length}:${tenant}:${id}`;
}
