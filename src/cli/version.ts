/** The version that `--version` shows; kept equal to package.json by a test. */
export const VERSION = '0.1.0';
