/** Exit codes of all programs. */
export const EXIT_OK = 0;
/** An unexpected error. */
export const EXIT_FAILURE = 1;
/** Invalid usage or settings; nothing was started. */
export const EXIT_USAGE = 2;
/** The data folder is damaged or not writable; see the message and docs/OPERATIONS.md. */
export const EXIT_STORAGE = 3;
/** A second signal terminated the process before its requests were finished. */
export const EXIT_INTERRUPTED = 4;
