/** Schemas and parsers for the bodies and headers of callers' requests. */
import type { IncomingMessage } from 'node:http';
import { z } from 'zod';
import { sha256Hex } from '../common/index.js';
import { badRequestProblem } from '../http/index.js';

const MAX_MESSAGES = 4_096;
const MAX_OUTPUT_TOKENS = 131_072;
const DEFAULT_OUTPUT_TOKENS = 512;
const MAX_SEQUENCE = 1_000_000;

const messageSchema = z.strictObject({
  role: z.enum(['system', 'user', 'assistant', 'tool']),
  content: z.string(),
});

export const openProgramSchema = z.strictObject({
  model: z.string().min(1),
  parent: z.string().optional(),
  budget: z.number().int().positive().optional(),
  deadline_ms: z.number().int().positive().optional(),
  limits: z
    .strictObject({
      max_calls: z.number().int().positive().optional(),
      max_depth: z.number().int().min(0).optional(),
      max_repeated_calls: z.number().int().positive().optional(),
      idle_timeout_ms: z.number().int().positive().optional(),
    })
    .default({}),
});

export const modelCallSchema = z.strictObject({
  messages: z.array(messageSchema).min(1).max(MAX_MESSAGES),
  max_tokens: z.number().int().min(1).max(MAX_OUTPUT_TOKENS).default(DEFAULT_OUTPUT_TOKENS),
  stream: z.boolean().default(false),
});

export const serviceCallSchema = z.strictObject({
  service: z.strictObject({
    name: z.string().min(1).max(64),
    operation: z.string().min(1).max(64),
    payload: z.string().max(1024 * 1024),
  }),
  /** Whether the call may safely run more than once. */
  repeatable: z.boolean(),
});

export const chatCompletionSchema = z.object({
  model: z.string().min(1),
  messages: z.array(messageSchema).min(1).max(MAX_MESSAGES),
  max_tokens: z.number().int().min(1).max(MAX_OUTPUT_TOKENS).default(DEFAULT_OUTPUT_TOKENS),
  stream: z.boolean().default(false),
});

export type ModelCallBody = z.infer<typeof modelCallSchema>;
export type ServiceCallBody = z.infer<typeof serviceCallSchema>;

/** Validates a body. @throws HttpProblem listing every invalid path */
export function parseBody<Schema extends z.ZodType>(
  schema: Schema,
  body: unknown,
): z.infer<Schema> {
  const parsed = schema.safeParse(body);
  if (parsed.success) return parsed.data;
  const lines = parsed.error.issues.map(
    (issue) => `${issue.path.map(String).join('.') || 'body'}: ${issue.message}`,
  );
  throw badRequestProblem(lines.join('; '), 'invalid_body', 422);
}

/** Parses the sequence number in a call's path. @throws HttpProblem */
export function parseSequence(text: string): number {
  const sequence = Number(text);
  if (!Number.isInteger(sequence) || sequence < 1 || sequence > MAX_SEQUENCE) {
    throw badRequestProblem(`the sequence number must be from 1 to ${MAX_SEQUENCE}`);
  }
  return sequence;
}

/** Parses the submission number of a call, 1 if the header is missing. @throws HttpProblem */
export function parseSubmission(request: IncomingMessage): number {
  const header = request.headers['ledgegauge-submission'] ?? '1';
  const submission = Number(header);
  if (!Number.isInteger(submission) || submission < 1) {
    throw badRequestProblem('Ledgegauge-Submission must be a positive integer');
  }
  return submission;
}

export function isResend(request: IncomingMessage): boolean {
  return request.headers['ledgegauge-resend'] === 'true';
}

/** Hashes a call's content, independent of how its result is delivered. */
export function hashRequest(body: ModelCallBody | ServiceCallBody): string {
  const content =
    'messages' in body
      ? { messages: body.messages, max_tokens: body.max_tokens }
      : { service: body.service, repeatable: body.repeatable };
  return sha256Hex(JSON.stringify(content));
}
