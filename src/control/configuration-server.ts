/** Serves whole configurations to gateways: packed once per revision, with limited bandwidth. */
import { gzipSync } from 'node:zlib';
import { monotonicMs } from '../common/index.js';
import type { IntentStateMachine } from '../intents/index.js';
import type { FetchConfigurationRequest, FetchConfigurationResponse } from '../membership/index.js';
import { encodeValue } from '../wire/index.js';

/** Leaves most of a small machine's network bandwidth to other traffic. */
const MAX_BYTES_PER_SECOND = 48 * 1024 * 1024;
const FASTEST_COMPRESSION = 1;
const WINDOW_MS = 1_000;

export class ConfigurationServer {
  private packed: { revision: number; bytes: Buffer } | undefined;
  private windowStartMs = 0;
  private windowBytes = 0;

  constructor(private readonly intents: IntentStateMachine) {}

  serve({ atLeast }: FetchConfigurationRequest): FetchConfigurationResponse {
    if (this.intents.revision < atLeast) return { refusal: 'behind' };
    const { revision, bytes } = this.pack();
    if (!this.tryConsumeBandwidth(bytes.length)) return { refusal: 'busy' };
    return { revision, document: bytes };
  }

  private pack(): { revision: number; bytes: Buffer } {
    const { revision, document } = this.intents;
    if (this.packed?.revision !== revision) {
      const bytes = gzipSync(encodeValue(document), { level: FASTEST_COMPRESSION });
      this.packed = { revision, bytes };
    }
    return this.packed;
  }

  private tryConsumeBandwidth(bytes: number): boolean {
    const now = monotonicMs();
    if (now - this.windowStartMs >= WINDOW_MS) {
      this.windowStartMs = now;
      this.windowBytes = 0;
    }
    if (this.windowBytes + bytes > MAX_BYTES_PER_SECOND && this.windowBytes > 0) return false;
    this.windowBytes += bytes;
    return true;
  }
}
