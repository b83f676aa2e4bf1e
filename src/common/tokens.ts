/**
 * Token counts. Engines count with their own tokenizers; this project needs only an estimate for
 * costs and routing, and passes the cost ceiling along so that an engine refuses what exceeds it.
 */

/** Assumed characters in a token (common rule of thumb for English text, not measured here). */
export const CHARACTERS_PER_TOKEN = 4;

export function countTokens(text: string): number {
  return Math.ceil(text.length / CHARACTERS_PER_TOKEN);
}

/** One message of a chat, in the shape of the chat-completions convention. */
export interface ChatMessage {
  role: string;
  content: string;
}

/** The text that a chat message adds to a prompt. */
export function renderMessage(message: ChatMessage): string {
  return `<${message.role}>${message.content}\n`;
}

/** Tokens that messages add to a prompt; each message is counted alone. */
export function countMessageTokens(messages: readonly ChatMessage[]): number {
  return messages.reduce((sum, message) => sum + countTokens(renderMessage(message)), 0);
}
