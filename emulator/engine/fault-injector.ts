/** Ways in which an emulated engine misbehaves on request of a test. */
import type { ServerResponse } from 'node:http';
import { z } from 'zod';

export const faultModeSchema = z.object({
  mode: z.enum(['none', 'rubbish', 'half-event', 'nothing', 'cut']),
  /** How many answers are affected. */
  count: z.number().int().min(0).default(1),
});

export type FaultSettings = z.infer<typeof faultModeSchema>;

export class FaultInjector {
  private settings: FaultSettings = { mode: 'none', count: 0 };

  set(settings: FaultSettings): void {
    this.settings = settings;
  }

  /** Answers instead of the engine, if the mode says so; returns whether it did. */
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
