/** Exit codes of all programs. */
export const EXIT_OK = 0;
/** An unexpected error. */
export const EXIT_FAILURE = 1;
/** Wrong usage or wrong settings; nothing was started. */
export const EXIT_USAGE = 2;
/** The data folder cannot be trusted or written; see the message and docs/OPERATIONS.md. */
export const EXIT_STORAGE = 3;
/** A second signal ended the process before it had finished its requests. */
export const EXIT_INTERRUPTED = 4;
