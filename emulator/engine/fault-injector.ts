/** Faults that tests inject into the responses of an emulated engine. */
import type { ServerResponse } from 'node:http';
import { z } from 'zod';

export const faultModeSchema = z.object({
  mode: z.enum(['none', 'rubbish', 'half-event', 'nothing', 'cut', 'end']),
  /** Number of responses to affect. */
  count: z.number().int().min(0).default(1),
  /** In mode `end`, a request that contains this text ends the engine's process. */
  marker: z.string().default(''),
});

export type FaultSettings = z.infer<typeof faultModeSchema>;

export class FaultInjector {
  private settings: FaultSettings = { mode: 'none', count: 0, marker: '' };

  set(settings: FaultSettings): void {
    this.settings = settings;
  }

  /** Ends the response in place of the engine if the mode requires it; returns whether it did. */
  async applyBeforeResponse(response: ServerResponse): Promise<boolean> {
    const { mode } = this.settings;
    if (mode === 'nothing' && this.consume()) {
      response.destroy();
      return true;
    }
    if (mode === 'half-event' && this.consume()) {
      response.writeHead(200, { 'content-type': 'text/event-stream' });
      response.end('id: 3\ndata: {"choi');
      return true;
    }
    return false;
  }

  /** Whether the engine's process ends under a request with these messages. */
  endsUnder(messages: readonly { content: string }[]): boolean {
    const { mode, marker } = this.settings;
    return mode === 'end' && messages.some(({ content }) => content.includes(marker));
  }

  corruptChunk(data: string): string {
    return this.settings.mode === 'rubbish' && this.consume() ? '{"%%' : data;
  }

  shouldCutStream(): boolean {
    return this.settings.mode === 'cut' && this.consume();
  }

  private consume(): boolean {
    if (this.settings.count <= 0) return false;
    this.settings.count -= 1;
    return true;
  }
}
