/**
 * Token counts. Engines use their own tokenizers; this project only estimates counts for costs and
 * routing, and sends the cost ceiling with a call so that the engine rejects a call that exceeds it.
 */

/** Rule of thumb for English text. */
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

/** Tokens that messages add to a prompt; each message is rounded up separately. */
export function countMessageTokens(messages: readonly ChatMessage[]): number {
  return messages.reduce((sum, message) => sum + countTokens(renderMessage(message)), 0);
}
