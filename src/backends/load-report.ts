/** Load report of an engine, which is slightly outdated. */
import { z } from 'zod';

export const loadReportSchema = z.object({
  waiting: z.number(),
  running: z.number(),
  pendingPrefillTokens: z.number(),
  usedBlocks: z.number(),
  capacityBlocks: z.number(),
});

export type LoadReport = z.infer<typeof loadReportSchema>;
