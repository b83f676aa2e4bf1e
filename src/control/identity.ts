/**
 * Identity of a data folder: a random member id that is written on first use. A member that lost its disk starts with
 * an empty folder and gets a new id, so that it can never vote under the old one.
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
/** Pause between attempts to write to a full disk. */
const FULL_RETRY_MS = 200;

/**
 * `new`: not part of a cluster yet; `founding`: bootstrapping the cluster's groups; `member`: part of a cluster;
 * `joining`: joining an existing cluster.
 */
export type IdentityState = 'new' | 'founding' | 'member' | 'joining';

export interface Identity {
  memberId: string;
  state: IdentityState;
  /** The members that founded the cluster, once known. */
  founders: Member[];
  /** Names of the groups that the process takes part in; absent if there is a single one. */
  groups?: readonly string[];
  /** Those of them that it founded, whose logs the folder holds; absent if there is a single one. */
  foundedGroups?: readonly string[];
  /** Addresses of the members that were to found the cluster, if the folder was created at the first start of the system. */
  firstSeeds?: readonly string[];
}

export class IdentityStore {
  private constructor(
    private readonly folder: string,
    private current: Identity,
  ) {}

  /** @param firstSeeds recorded if the folder has no identity yet; undefined unless this is the first start of the system */
  static async open(
    folder: string,
    name: string,
    firstSeeds?: readonly string[],
  ): Promise<IdentityStore> {
    await makeFolder(folder);
    const bytes = await readFileIfPresent(join(folder, IDENTITY_FILE));
    if (bytes) {
      // An earlier process may have crashed after renaming the file, before syncing the folder.
      await syncFolder(folder);
      return new IdentityStore(folder, JSON.parse(bytes.toString('utf8')) as Identity);
    }
    const memberId = `${name}-${randomBytes(ID_BYTES).toString('hex')}`;
    const store = new IdentityStore(folder, { memberId, state: 'new', founders: [], firstSeeds });
    await store.save(store.current);
    return store;
  }

  get identity(): Identity {
    return this.current;
  }

  /** Resolves once the identity is durable; waits while the disk is full. */
  async save(identity: Identity): Promise<void> {
    const bytes = Buffer.from(JSON.stringify(identity, null, 2));
    while (!(await this.tryReplace(bytes))) await sleep(FULL_RETRY_MS);
    this.current = identity;
  }

  private async tryReplace(bytes: Buffer): Promise<boolean> {
    try {
      await replaceFile(this.folder, IDENTITY_FILE, bytes);
      return true;
    } catch (error) {
      if (error instanceof StorageFullError) return false;
      throw error;
    }
  }
}
