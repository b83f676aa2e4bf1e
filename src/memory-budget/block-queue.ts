/**
 * Queue of bytes that copies small chunks into blocks. Many small buffers would take several times the memory of their
 * content.
 */

const BLOCK_BYTES = 8 * 1024;

/** A buffer of which the first `length` bytes are used. */
interface Block {
  buffer: Buffer;
  length: number;
}

export class BlockQueue {
  private readonly blocks: Block[] = [];
  private allocatedBytes = 0;

  get isEmpty(): boolean {
    return this.blocks.length === 0;
  }

  /** Size of all blocks, including their unused parts. */
  get heldBytes(): number {
    return this.allocatedBytes;
  }

  push(chunk: Uint8Array): void {
    if (chunk.length === 0) return;
    const last = this.blocks.at(-1);
    if (last && last.length + chunk.length <= last.buffer.length) append(last, chunk);
    else if (last && chunk.length < BLOCK_BYTES) append(this.allocate(), chunk);
    else this.add({ buffer: bufferOf(chunk), length: chunk.length });
  }

  /** Removes the first block and returns its content. */
  shift(): Buffer | undefined {
    const block = this.blocks.shift();
    if (!block) return undefined;
    this.allocatedBytes -= block.buffer.length;
    return contentOf(block);
  }

  /** Removes all blocks and returns their content. */
  takeAll(): Buffer {
    const contents = this.blocks.map(contentOf);
    this.clear();
    return contents.length === 1 ? contents[0]! : Buffer.concat(contents);
  }

  clear(): void {
    this.blocks.length = 0;
    this.allocatedBytes = 0;
  }

  private allocate(): Block {
    const block = { buffer: Buffer.allocUnsafeSlow(BLOCK_BYTES), length: 0 };
    this.add(block);
    return block;
  }

  private add(block: Block): void {
    this.blocks.push(block);
    this.allocatedBytes += block.buffer.length;
  }
}

function append(block: Block, chunk: Uint8Array): void {
  block.buffer.set(chunk, block.length);
  block.length += chunk.length;
}

function contentOf({ buffer, length }: Block): Buffer {
  return length === buffer.length ? buffer : buffer.subarray(0, length);
}

function bufferOf(chunk: Uint8Array): Buffer {
  return Buffer.isBuffer(chunk)
    ? chunk
    : Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength);
}
