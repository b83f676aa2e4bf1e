/**
 * Deterministic answers of emulated engines: the text depends only on model and prompt, so that a
 * caller can verify an answer locally.
 */
import {
  CHARACTERS_PER_TOKEN,
  type ChatMessage,
  SeededRandom,
  countTokens,
  hash32,
  renderMessage,
} from '../../src/common/index.js';

/** Answer lengths in tokens follow a Pareto distribution that is cut at both ends. */
const MIN_ANSWER_TOKENS = 8;
const TYPICAL_ANSWER_TOKENS = 48;
const MAX_ANSWER_TOKENS = 1_024;
const PARETO_EXPONENT = 1.6;
const ALPHABET = 'abcdefghijklmnopqrstuvwxyz';
/** Scale of the Pareto distribution, as a fraction of the typical length. */
const TAIL_START = 0.6;

/** Renders messages as the prompt text that the engine processes. */
export function renderPrompt(messages: readonly ChatMessage[]): string {
  return messages.map(renderMessage).join('');
}

/** Complete answer to one prompt, known before its tokens are generated. */
export interface PlannedAnswer {
  text: string;
  tokens: number;
  finishReason: 'stop' | 'length';
}

/** Computes the answer of `model` to a rendered prompt, truncated to `maxTokens`. */
export function planAnswer(model: string, prompt: string, maxTokens: number): PlannedAnswer {
  const random = new SeededRandom(hash32(`${model}\n${prompt}`) | 0);
  const sampledTokens = Math.round(
    random.pareto(TYPICAL_ANSWER_TOKENS * TAIL_START, PARETO_EXPONENT),
  );
  const fullTokens = Math.min(MAX_ANSWER_TOKENS, Math.max(MIN_ANSWER_TOKENS, sampledTokens));
  const tokens = Math.min(fullTokens, maxTokens);
  let text = '';
  for (let index = 0; index < tokens; index += 1) {
    for (let letter = 1; letter < CHARACTERS_PER_TOKEN; letter += 1) {
      text += ALPHABET[random.integer(0, ALPHABET.length - 1)];
    }
    text += ' ';
  }
  return { text, tokens: countTokens(text), finishReason: tokens < fullTokens ? 'length' : 'stop' };
}

/** The answer that a caller must receive for its messages. */
export function expectedAnswer(
  model: string,
  messages: readonly ChatMessage[],
  maxTokens: number,
): string {
  return planAnswer(model, renderPrompt(messages), maxTokens).text;
}
