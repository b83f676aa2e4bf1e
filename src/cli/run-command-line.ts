/** Parses a command line and runs its command. */
import type { CAC } from 'cac';
import { EXIT_USAGE } from './exit-codes.js';
import { runAction } from './run-action.js';
import { VERSION } from './version.js';

/** Adds `--help` and `--version`; an unknown command prints the help and exits with EXIT_USAGE. */
export async function runCommandLine(cli: CAC): Promise<void> {
  cli.help();
  cli.version(VERSION);
  await runAction(async () => {
    cli.parse(process.argv, { run: false });
    const isInformation = cli.options.help === true || cli.options.version === true;
    if (!cli.matchedCommand && !isInformation) {
      cli.outputHelp();
      process.exitCode = EXIT_USAGE;
      return;
    }
    await cli.runMatchedCommand();
  });
}
