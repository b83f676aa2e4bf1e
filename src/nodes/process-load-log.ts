/**
 * Logs once a second what a busy process uses its processor for: messages of the internal protocol by method, and
 * processor time for each of them. Tells dear messages from many.
 */
import { type LogFields, type Logger } from '../observability/index.js';
import { receivedByMethod, sentByMethod, wireCounters } from '../wire/index.js';

const INTERVAL_MS = 1_000;
/** Minimum number of messages per second for a line to be logged. */
const MIN_MESSAGES = 50;
const MICROSECONDS_PER_MS = 1_000;

type CountsByMethod = ReadonlyMap<string, number>;

/** Readings of monotonic counters. */
interface LoadReading {
  /** Processor time, in microseconds. */
  processorUs: number;
  /** Messages received and sent, with responses. */
  messages: number;
  received: CountsByMethod;
  sent: CountsByMethod;
}

export class ProcessLoadLog {
  private readonly timer: NodeJS.Timeout;
  private before = readLoad();

  constructor(private readonly logger: Logger) {
    this.timer = setInterval(() => this.report(), INTERVAL_MS);
    this.timer.unref();
  }

  stop(): void {
    clearInterval(this.timer);
  }

  private report(): void {
    const now = readLoad();
    const { before } = this;
    this.before = now;
    if (now.messages - before.messages < MIN_MESSAGES) return;
    this.logger.info('process load', describeLoad(now, before));
  }
}

function readLoad(): LoadReading {
  const { user, system } = process.cpuUsage();
  return {
    processorUs: user + system,
    messages: wireCounters.messagesReceived + wireCounters.messagesSent,
    received: receivedByMethod.read(),
    sent: sentByMethod.read(),
  };
}

function describeLoad(now: LoadReading, before: LoadReading): LogFields {
  const processorUs = now.processorUs - before.processorUs;
  const messages = now.messages - before.messages;
  return {
    processorMs: Math.round(processorUs / MICROSECONDS_PER_MS),
    messages,
    messageUs: Math.round(processorUs / messages),
    receivedRequests: describeGrowth(now.received, before.received),
    sentRequests: describeGrowth(now.sent, before.sent),
  };
}

function describeGrowth(now: CountsByMethod, before: CountsByMethod): string {
  return [...now]
    .map(([method, count]): [string, number] => [method, count - (before.get(method) ?? 0)])
    .filter(([, count]) => count > 0)
    .sort(([, left], [, right]) => right - left)
    .map(([method, count]) => `${method}=${count}`)
    .join(' ');
}
