/**
 * Deterministic answers: the text that an emulated engine generates follows from model and prompt
 * alone, so whoever knows the prompt can check any answer without asking anyone.
 */
import {
  CHARACTERS_PER_TOKEN,
  type ChatMessage,
  SeededRandom,
  countTokens,
  hash32,
  renderMessage,
} from '../../src/common/index.js';

/** Shortest and typical natural length of an answer, in tokens (assumed; heavy-tailed). */
const SHORTEST_ANSWER_TOKENS = 8;
const TYPICAL_ANSWER_TOKENS = 48;
const LONGEST_ANSWER_TOKENS = 1_024;
const PARETO_EXPONENT = 1.6;
const ALPHABET = 'abcdefghijklmnopqrstuvwxyz';
/** Share of the typical length at which the tail begins. */
const TAIL_START = 0.6;

/** The whole prompt as text. */
export function renderPrompt(messages: readonly ChatMessage[]): string {
  return messages.map(renderMessage).join('');
}

/** How a model answers one prompt. */
export interface PlannedAnswer {
  text: string;
  tokens: number;
  finishReason: 'stop' | 'length';
}

/** Works out the answer of `model` to a rendered prompt, cut at `maxTokens`. */
export function planAnswer(model: string, prompt: string, maxTokens: number): PlannedAnswer {
  const random = new SeededRandom(hash32(`${model}\n${prompt}`) | 0);
  const natural = Math.round(random.pareto(TYPICAL_ANSWER_TOKENS * TAIL_START, PARETO_EXPONENT));
  const wanted = Math.min(LONGEST_ANSWER_TOKENS, Math.max(SHORTEST_ANSWER_TOKENS, natural));
  const tokens = Math.min(wanted, maxTokens);
  let text = '';
  for (let index = 0; index < tokens; index += 1) {
    for (let letter = 1; letter < CHARACTERS_PER_TOKEN; letter += 1) {
      text += ALPHABET[random.integer(0, ALPHABET.length - 1)];
    }
    text += ' ';
  }
  return { text, tokens: countTokens(text), finishReason: tokens < wanted ? 'length' : 'stop' };
}

/** The answer that a caller has to receive for its messages. */
export function expectedAnswer(
  model: string,
  messages: readonly ChatMessage[],
  maxTokens: number,
): string {
  return planAnswer(model, renderPrompt(messages), maxTokens).text;
}
