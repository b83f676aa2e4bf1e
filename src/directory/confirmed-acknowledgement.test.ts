/**
 * Guards against acknowledging a change as soon as the group has committed it, while active gateways still use the
 * previous configuration or send calls to a draining backend.
 */
import { describe, expect, it } from 'vitest';
import { CommittingDirectory } from '../../tests/support/committing-directory.js';
import { sampleRegistration } from '../../tests/support/directory-samples.js';
import { sleep } from '../common/index.js';
import { BackendCache } from './backend-cache.js';
import { type DirectoryView, INITIAL_KNOWN_VERSIONS } from './messages.js';
import { unpackJson } from './packed-json.js';

/** Time limit for the response to an operator request, whatever gateways do. */
const MAX_WAIT_MS = 1_300;
const GATEWAY_DELAY_MS = 150;

class Gateway {
  private known = INITIAL_KNOWN_VERSIONS;
  private readonly backends = new BackendCache();

  constructor(
    private readonly directory: CommittingDirectory,
    private readonly name: string,
  ) {}

  /** Sends a watch request with the held versions and applies the response. */
  async watch(): Promise<DirectoryView> {
    const view = await this.directory.leader.watch({
      node: { name: this.name, role: 'gateway', address: `${this.name}:1`, zone: 'z' },
      known: this.known,
      isUrgent: true,
      loads: [],
    });
    if (view.backends) this.backends.apply(view.backends);
    if (view.silence) this.backends.applySilenceDelta(unpackJson(view.silence));
    this.known = {
      configuration: view.configuration?.index ?? this.known.configuration,
      backendsIndex: this.backends.index,
      silence: this.backends.silence,
      cluster: view.cluster?.version ?? this.known.cluster,
    };
    return view;
  }
}

/** Whether a request is still without a response after a delay. */
async function isPending(request: Promise<void>): Promise<boolean> {
  let isOpen = true;
  void request.then(() => (isOpen = false));
  await sleep(GATEWAY_DELAY_MS);
  return isOpen;
}

describe('an acknowledgement', () => {
  it('waits until active gateways hold the configuration, or for a time limit', async () => {
    const directory = new CommittingDirectory();
    const gateways = ['g1', 'g2'].map((name) => new Gateway(directory, name));
    for (const gateway of gateways) await gateway.watch();

    const request = directory.put(1);
    expect(await isPending(request)).toBe(true);
    for (const gateway of gateways) await gateway.watch();
    expect(await isPending(request)).toBe(true);
    for (const gateway of gateways) await gateway.watch();
    await request;

    const drain = directory.leader.recordHeartbeat(sampleRegistration({ phase: 'draining' }));
    expect(await isPending(drain)).toBe(true);
    for (const gateway of gateways) await gateway.watch();
    for (const gateway of gateways) await gateway.watch();
    await drain;

    const sentAt = performance.now();
    await directory.put(2);
    expect(performance.now() - sentAt).toBeLessThan(MAX_WAIT_MS);
  });
});
