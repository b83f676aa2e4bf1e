/** A TCP socket for frames. Frames sent in one turn of the event loop are written together. */
import type { Socket } from 'node:net';
import { Deferred, TimeoutError, monotonicMs } from '../common/index.js';
import { LinkError } from './errors.js';
import { FrameDecoder, MAX_FRAME_BYTES, encodeFrame } from './frame-codec.js';
import { wireCounters } from './wire-counters.js';

/** Frames of one turn of the event loop are joined up to this size; copying more would cost more than separate writes. */
const MAX_JOINED_BYTES = 64 * 1024;

export class FramedSocket {
  /** Bytes received and sent by this socket. */
  readonly traffic = { received: 0, sent: 0 };
  private readonly decoder: FrameDecoder;
  private readonly unreadFrames: unknown[] = [];
  private readonly closedEvent = new Deferred<void>();
  private pendingRead: Deferred<unknown> | undefined;
  private listener: ((value: unknown) => void) | undefined;
  /** Frames sent in this turn of the event loop. */
  private unsentFrames: Buffer[] = [];
  private unsentBytes = 0;
  private maxReceivedBytes = Infinity;
  private lastReceived = monotonicMs();

  constructor(
    private readonly socket: Socket,
    readonly peer: string,
  ) {
    this.decoder = new FrameDecoder(peer);
    socket.setNoDelay(true);
    socket.on('data', (chunk: Buffer) => this.receive(chunk));
    socket.on('error', () => undefined);
    socket.on('close', () => this.onClose());
  }

  /** Resolves when the socket has closed for any reason. */
  get closed(): Promise<void> {
    return this.closedEvent.promise;
  }

  get isOpen(): boolean {
    return !this.socket.destroyed;
  }

  /** Time when data was last received (monotonic, milliseconds). */
  get lastReceivedMs(): number {
    return this.lastReceived;
  }

  /** Bytes that are buffered and not yet sent. */
  get bufferedBytes(): number {
    return this.socket.writableLength + this.unsentBytes;
  }

  /** Closes the socket once more bytes than that have been received in all. */
  limitReceived(maxBytes: number): void {
    this.maxReceivedBytes = maxBytes;
  }

  /** Closes the socket instead if its peer has left more than the maximum size of a frame unread. */
  send(value: unknown): void {
    if (!this.socket.writable) return;
    if (this.bufferedBytes > MAX_FRAME_BYTES) {
      this.socket.destroy();
      return;
    }
    const frame = encodeFrame(value);
    this.traffic.sent += frame.length;
    wireCounters.messagesSent += 1;
    if (this.unsentFrames.length === 0) setImmediate(() => this.writeFrames());
    this.unsentFrames.push(frame);
    this.unsentBytes += frame.length;
  }

  /** Passes all frames to `listener`, including those already received. */
  listen(listener: (value: unknown) => void): void {
    this.listener = listener;
    for (const value of this.unreadFrames.splice(0)) listener(value);
  }

  /**
   * Reads the next frame before a listener is set.
   * @throws TimeoutError after `timeoutMs`
   * @throws LinkError if the socket closes first
   */
  async readFrame<T>(step: string, timeoutMs: number): Promise<T> {
    if (this.unreadFrames.length > 0) return this.unreadFrames.shift() as T;
    const waiting = new Deferred<unknown>();
    this.pendingRead = waiting;
    // After a stall of the process, timers run before sockets are read: read pending data first.
    const timer = setTimeout(() => {
      setImmediate(() => waiting.reject(this.timeoutError(step)));
    }, timeoutMs);
    try {
      return (await waiting.promise) as T;
    } finally {
      clearTimeout(timer);
      this.pendingRead = undefined;
    }
  }

  /** Sends what is buffered, and closes. */
  end(): void {
    this.writeFrames();
    this.socket.end();
  }

  destroy(): void {
    this.socket.destroy();
  }

  private writeFrames(): void {
    const frames = this.unsentFrames;
    const bytes = this.unsentBytes;
    this.unsentFrames = [];
    this.unsentBytes = 0;
    if (frames.length === 0 || !this.socket.writable) return;
    wireCounters.writes += 1;
    if (bytes <= MAX_JOINED_BYTES) this.socket.write(joinFrames(frames, bytes));
    else this.writeSeparately(frames);
  }

  /** The system still gets them in one call. */
  private writeSeparately(frames: readonly Buffer[]): void {
    this.socket.cork();
    for (const frame of frames) this.socket.write(frame);
    this.socket.uncork();
  }

  private timeoutError(step: string): TimeoutError {
    return new TimeoutError('no handshake message in time', {
      step,
      peer: this.peer,
      retriable: true,
    });
  }

  private receive(chunk: Buffer): void {
    this.lastReceived = monotonicMs();
    this.traffic.received += chunk.length;
    wireCounters.reads += 1;
    if (this.traffic.received > this.maxReceivedBytes) {
      this.socket.destroy();
      return;
    }
    let values: unknown[];
    try {
      values = this.decoder.push(chunk);
    } catch {
      this.socket.destroy();
      return;
    }
    wireCounters.messagesReceived += values.length;
    for (const value of values) this.deliver(value);
  }

  private deliver(value: unknown): void {
    if (this.listener) this.listener(value);
    else if (this.pendingRead) this.pendingRead.resolve(value);
    else this.unreadFrames.push(value);
  }

  private onClose(): void {
    this.pendingRead?.reject(
      new LinkError('connection closed', { step: 'wire.read', peer: this.peer, retriable: true }),
    );
    this.closedEvent.resolve();
  }
}

function joinFrames(frames: readonly Buffer[], bytes: number): Buffer {
  const [first] = frames;
  return frames.length === 1 ? first! : Buffer.concat(frames, bytes);
}
