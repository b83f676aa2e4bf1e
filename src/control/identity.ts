/**
 * Identity of a data folder. A member is known by a random id that is written when its folder is
 * first used. A member whose disk is lost starts with an empty folder, gets a new id, and so can
 * never vote under the old one.
 */
import { randomBytes } from 'node:crypto';
import { mkdir } from 'node:fs/promises';
import { join } from 'node:path';
import type { Member } from '../consensus/index.js';
import { readFileIfPresent, replaceFile } from '../log-store/index.js';

const IDENTITY_FILE = 'identity.json';
const ID_BYTES = 8;

/**
 * `new`: belongs to no cluster yet; `founding`: writes the first entries; `member`: founded the
 * cluster; `joining`: came to a cluster that was there before.
 */
export type IdentityState = 'new' | 'founding' | 'member' | 'joining';

export interface Identity {
  memberId: string;
  state: IdentityState;
  /** The members that founded the cluster, once known. */
  founders: Member[];
}

export class IdentityStore {
  private constructor(
    private readonly folder: string,
    private current: Identity,
  ) {}

  static async open(folder: string, name: string): Promise<IdentityStore> {
    await mkdir(folder, { recursive: true });
    const bytes = await readFileIfPresent(join(folder, IDENTITY_FILE));
    if (bytes) return new IdentityStore(folder, JSON.parse(bytes.toString('utf8')) as Identity);
    const memberId = `${name}-${randomBytes(ID_BYTES).toString('hex')}`;
    const store = new IdentityStore(folder, { memberId, state: 'new', founders: [] });
    await store.save(store.current);
    return store;
  }

  get identity(): Identity {
    return this.current;
  }

  async save(identity: Identity): Promise<void> {
    await replaceFile(this.folder, IDENTITY_FILE, Buffer.from(JSON.stringify(identity, null, 2)));
    this.current = identity;
  }
}
