/**
 * Symptom: a configuration was acknowledged, and seconds later a gateway in touch acted by the one before;
 * a back end that had been told its leaving was known still got calls.
 * Sequence: the group committed; one gateway's question for news was held up.
 * Cause: an acknowledgement meant that the group had committed, and said nothing of those who act by it.
 * What settled it: with a gateway that is known to the leader and holds the version before, an order was
 * acknowledged at once.
 */
import { describe, expect, it } from 'vitest';
import { CommittingDirectory } from '../../tests/support/committing-directory.js';
import { sampleRegistration } from '../../tests/support/directory-samples.js';
import { sleep } from '../common/index.js';
import { BackendCache } from './backend-cache.js';
import { type DirectoryView, INITIAL_KNOWN_VERSIONS } from './messages.js';
import { unpackJson } from './packed-json.js';

/** An order must be answered within this time whatever gateways do, in milliseconds. */
const LONGEST_WAIT_MS = 1_300;
const GATEWAY_DELAY_MS = 150;

class Gateway {
  private known = INITIAL_KNOWN_VERSIONS;
  private readonly backends = new BackendCache();

  constructor(
    private readonly directory: CommittingDirectory,
    private readonly name: string,
  ) {}

  /** Asks for news, says what was held when asking, and holds what came. */
  async ask(): Promise<DirectoryView> {
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

/** Whether an order is still without its answer after a while. */
async function isOpen(order: Promise<void>): Promise<boolean> {
  let open = true;
  void order.then(() => (open = false));
  await sleep(GATEWAY_DELAY_MS);
  return open;
}

describe('an acknowledgement', () => {
  it('comes when the gateways in touch hold the configuration, or have been given time to', async () => {
    const directory = new CommittingDirectory();
    const gateways = ['g1', 'g2'].map((name) => new Gateway(directory, name));
    for (const gateway of gateways) await gateway.ask();

    const order = directory.put(1);
    expect(await isOpen(order)).toBe(true);
    for (const gateway of gateways) await gateway.ask();
    expect(await isOpen(order)).toBe(true);
    for (const gateway of gateways) await gateway.ask();
    await order;

    const drain = directory.leader.recordHeartbeat(sampleRegistration({ phase: 'draining' }));
    expect(await isOpen(drain)).toBe(true);
    for (const gateway of gateways) await gateway.ask();
    for (const gateway of gateways) await gateway.ask();
    await drain;

    const sentAt = performance.now();
    await directory.put(2);
    expect(performance.now() - sentAt).toBeLessThan(LONGEST_WAIT_MS);
  });
});
