/**
 * Fetches a whole configuration for a gateway that has just started or lags too far. Any control member that has
 * the revision can serve it, so that a restarting region does not overload the leader.
 */
import { gunzip } from 'node:zlib';
import { promisify } from 'node:util';
import { Backoff, sleep } from '../common/index.js';
import type { PeerCaller } from '../consensus/index.js';
import type { IntentDocument } from '../intents/index.js';
import { decodeValue } from '../wire/index.js';
import { FETCH_CONFIGURATION } from './messages.js';

export interface Configuration {
  revision: number;
  document: IntentDocument;
}

export interface ConfigurationFetcherOptions {
  peers: PeerCaller;
  /** Addresses of control members, nearest first. */
  addresses: readonly string[];
  /** Decodes the fetched document. @default decodeConfigurationDocument */
  decode?: (bytes: Uint8Array, revision: number) => Promise<IntentDocument>;
}

const TIMEOUT_MS = 10_000;
const INITIAL_RETRY_MS = 100;
const MAXIMUM_RETRY_MS = 1_000;

const unzip = promisify(gunzip);

export async function decodeConfigurationDocument(bytes: Uint8Array): Promise<IntentDocument> {
  return decodeValue<IntentDocument>(await unzip(bytes));
}

export class ConfigurationFetcher {
  constructor(private readonly options: ConfigurationFetcherOptions) {}

  /** Tries the members in turn until one serves `atLeast` or a later revision, or `signal` aborts. */
  async fetch(atLeast: number, signal: AbortSignal): Promise<Configuration | undefined> {
    const { addresses } = this.options;
    const backoff = new Backoff({ initialMs: INITIAL_RETRY_MS, maximumMs: MAXIMUM_RETRY_MS });
    for (let attempt = 0; !signal.aborted; attempt += 1) {
      const address = addresses[attempt % addresses.length]!;
      const configuration = await this.tryFetch(address, atLeast).catch(() => undefined);
      if (configuration) return configuration;
      await sleep(backoff.nextDelayMs(), signal);
    }
    return undefined;
  }

  private async tryFetch(address: string, atLeast: number): Promise<Configuration | undefined> {
    const { peers, decode = decodeConfigurationDocument } = this.options;
    const limits = { timeoutMs: TIMEOUT_MS };
    const response = await peers.call(address, FETCH_CONFIGURATION, { atLeast }, limits);
    if ('refusal' in response) return undefined;
    const { revision, document } = response;
    return { revision, document: await decode(document, revision) };
  }
}
