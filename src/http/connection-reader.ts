/**
 * Reads one connection of an HTTP server in bounded parts. Node parses all bytes of a read at once, which may be hundreds of
 * requests; here what follows the first request waits unparsed, and meanwhile the connection is not read.
 */
import type { IncomingMessage } from 'node:http';
import { Socket } from 'node:net';
import { type MemoryBudget, type MemoryHolder, processGcTrigger } from '../memory-budget/index.js';
import type { ReadScheduler, ReadTask } from './read-scheduler.js';
import { lengthOfFirstPart } from './received-part.js';

type DataListener = (bytes: Buffer) => void;
type Listener = (this: Socket) => void;

export interface ConnectionReaderOptions {
  socket: Socket;
  scheduler: ReadScheduler;
  /** Absent if the bytes are not counted. */
  budget?: MemoryBudget;
  /** Called when bytes begin or cease to wait unparsed. */
  onWaiting: (isWaiting: boolean) => void;
  /** Called when the budget is exhausted and this connection is the largest holder; must end it. */
  onEnded: () => void;
}

/** Parts of a fresh read that are parsed at once if they belong to one request: a head and the beginning of its body. */
const MAX_PARTS_AT_ONCE = 3;

/** More than the requests that may wait on a connection add to each event of its socket. */
const MAX_LISTENERS = 100;

/** The parser copies an incomplete head, whose received buffer is collected later. */
const PARTIAL_HEAD_COPIES = 2;

export class ConnectionReader implements ReadTask {
  /** Node's listener, which parses what it is given. */
  private readonly parse: DataListener;
  private unparsed: Buffer | undefined;
  /** Whether the requests that were received so far must be answered first. */
  private isHeld = false;
  /** Whether Node holds back the connection because of an unread body or unsent responses. */
  private isPausedByNode = false;
  private isFlowing = true;
  private isDiscarding = false;
  /** The request whose body is received. */
  private receiving: IncomingMessage | undefined;
  /** Bytes that are still to come of a body with a length. */
  private bodyBytesLeft = 0;
  /** Bytes of a head that is not complete. */
  private partialHeadBytes = 0;
  /** Memory of the requests that wait for the response of an earlier one, without their bodies. */
  private waitingBytes = 0;
  private holder: MemoryHolder | undefined;

  /** Must be created before the first bytes arrive. */
  constructor(private readonly options: ConnectionReaderOptions) {
    const { socket } = options;
    [this.parse] = socket.listeners('data') as [DataListener];
    this.replaceDataListener();
    socket.setMaxListeners(MAX_LISTENERS);
    socket.pause = () => this.notePausedByNode(true);
    socket.resume = () => this.notePausedByNode(false);
    socket.once('close', () => this.close());
  }

  /** Number of received bytes that are not parsed yet. */
  get unparsedBytes(): number {
    return this.unparsed?.length ?? 0;
  }

  /** From now on nothing is parsed, until `release`. */
  hold(): void {
    this.isHeld = true;
    this.update();
  }

  release(): void {
    this.isHeld = false;
    this.update();
  }

  readNext(): void {
    if (this.canParse) this.parsePart();
    this.update();
  }

  noteHead(request: IncomingMessage): void {
    this.receiving = request;
    this.bodyBytesLeft = Number(request.headers['content-length'] ?? 0);
    this.partialHeadBytes = 0;
  }

  noteWaitingBytes(bytes: number): void {
    const isLess = bytes < this.waitingBytes;
    this.waitingBytes = bytes;
    // More is counted behind the part that is being parsed, since the connection may be ended for it.
    if (isLess) this.account();
  }

  /** Drops what is not parsed, and what is still to come. */
  discard(): void {
    this.isDiscarding = true;
    this.unparsed = undefined;
    this.partialHeadBytes = 0;
    this.isHeld = false;
    this.update();
  }

  /**
   * Node reads a connection natively until another listener is added, and then it also takes off its listeners that stop the
   * handle in a pause. They are added again; otherwise the end of the stream would be reported before the unparsed bytes.
   */
  private replaceDataListener(): void {
    const { socket } = this.options;
    const pauseListeners = listenersOf(socket, 'pause');
    const resumeListeners = listenersOf(socket, 'resume');
    socket.off('data', this.parse);
    socket.on('data', (bytes: Buffer) => this.receive(bytes));
    for (const listener of pauseListeners) socket.off('pause', listener);
    for (const listener of resumeListeners) socket.off('resume', listener);
    socket.on('pause', () => callAll(socket, pauseListeners));
    // Node emits it later, when the connection may have been paused again.
    socket.on('resume', () => {
      if (this.isFlowing) callAll(socket, resumeListeners);
    });
    // A stream fills its own buffer in a pause.
    socket._read = (size) => {
      if (this.isFlowing) Socket.prototype._read.call(socket, size);
    };
  }

  private get canParse(): boolean {
    const { destroyed } = this.options.socket;
    return this.unparsed !== undefined && !destroyed && !this.isHeld && !this.isPausedByNode;
  }

  private receive(bytes: Buffer): void {
    processGcTrigger.noteReceived(bytes.length);
    if (this.isDiscarding) return;
    this.unparsed = this.unparsed ? Buffer.concat([this.unparsed, bytes]) : bytes;
    for (let parts = 0; parts < MAX_PARTS_AT_ONCE && this.canParse; parts += 1) {
      this.parsePart();
      if (!this.receiving) break;
    }
    this.update();
  }

  private parsePart(): void {
    const bytes = this.unparsed!;
    const length = this.lengthOfPart(bytes);
    this.unparsed = length < bytes.length ? bytes.subarray(length) : undefined;
    if (!this.receiving) this.partialHeadBytes += length;
    this.parse(length < bytes.length ? bytes.subarray(0, length) : bytes);
    if (this.receiving?.complete) this.receiving = undefined;
  }

  /** A body with a length is one part: its lines cost the parser nothing. */
  private lengthOfPart(bytes: Buffer): number {
    const bodyBytes = Math.min(this.bodyBytesLeft, bytes.length);
    this.bodyBytesLeft -= bodyBytes;
    return bodyBytes > 0 ? bodyBytes : lengthOfFirstPart(bytes);
  }

  private notePausedByNode(isPaused: boolean): Socket {
    this.isPausedByNode = isPaused;
    this.update();
    return this.options.socket;
  }

  /** Reads on once all bytes are parsed. */
  private update(): void {
    const { socket, scheduler } = this.options;
    if (this.canParse) scheduler.add(this);
    this.options.onWaiting(this.unparsed !== undefined);
    const mustFlow = this.unparsed === undefined && !this.isHeld && !this.isPausedByNode;
    if (mustFlow !== this.isFlowing && !socket.destroyed) {
      this.isFlowing = mustFlow;
      if (mustFlow) Socket.prototype.resume.call(socket);
      else Socket.prototype.pause.call(socket);
    }
    this.account();
  }

  private account(): void {
    const { socket, budget, onEnded } = this.options;
    // A remainder keeps the memory of its whole read.
    const unparsedBytes = this.unparsed?.buffer.byteLength ?? 0;
    const bytes = unparsedBytes + PARTIAL_HEAD_COPIES * this.partialHeadBytes + this.waitingBytes;
    if ((bytes === 0 && !this.holder) || socket.destroyed) return;
    const peer = (): string | undefined => socket.remoteAddress;
    this.holder ??= budget?.hold({ kind: 'connection', peer, end: onEnded });
    this.holder?.resize(bytes);
  }

  private close(): void {
    this.unparsed = undefined;
    this.options.onWaiting(false);
    this.options.scheduler.delete(this);
    this.holder?.release();
  }
}

function listenersOf(socket: Socket, event: string): Listener[] {
  return socket.listeners(event) as Listener[];
}

function callAll(socket: Socket, listeners: Listener[]): void {
  for (const listener of listeners) listener.call(socket);
}
