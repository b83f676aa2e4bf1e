/**
 * Identity of a data folder. A member is known by a random id that is written when its folder is
 * first used. A member whose disk is lost starts with an empty folder, gets a new id, and so can
 * never vote under the old one.
 */
import { randomBytes } from 'node:crypto';
import { join } from 'node:path';
import type { Member } from '../consensus/index.js';
import { sleep } from '../common/index.js';
import {
  StorageFullError,
  makeFolder,
  readFileIfPresent,
  replaceFile,
  syncFolder,
} from '../log-store/index.js';

const IDENTITY_FILE = 'identity.json';
const ID_BYTES = 8;
/** Pause between two tries on a full disk, in milliseconds; a start can bear that much. */
const FULL_RETRY_MS = 200;

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
    await makeFolder(folder);
    const bytes = await readFileIfPresent(join(folder, IDENTITY_FILE));
    if (bytes) {
      // A killed process may have renamed the file and not synced its name.
      await syncFolder(folder);
      return new IdentityStore(folder, JSON.parse(bytes.toString('utf8')) as Identity);
    }
    const memberId = `${name}-${randomBytes(ID_BYTES).toString('hex')}`;
    const store = new IdentityStore(folder, { memberId, state: 'new', founders: [] });
    await store.save(store.current);
    return store;
  }

  get identity(): Identity {
    return this.current;
  }

  /** Resolves once the identity is durable; waits while the disk is full. */
  async save(identity: Identity): Promise<void> {
    const bytes = Buffer.from(JSON.stringify(identity, null, 2));
    while (!(await this.replaceIfThereIsRoom(bytes))) await sleep(FULL_RETRY_MS);
    this.current = identity;
  }

  private async replaceIfThereIsRoom(bytes: Buffer): Promise<boolean> {
    try {
      await replaceFile(this.folder, IDENTITY_FILE, bytes);
      return true;
    } catch (error) {
      if (error instanceof StorageFullError) return false;
      throw error;
    }
  }
}
