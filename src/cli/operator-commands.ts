/** Operator commands: `plan`, `confirm`, `status`, `history` and `document`. */
import type { CAC } from 'cac';
import type { OperatorCommand, OperatorFlags } from './operator-actions.js';
import { runAction } from './run-action.js';

export function addOperatorCommands(cli: CAC): void {
  const add = (command: OperatorCommand, argument: string, description: string): void => {
    cli
      .command(`${command}${argument}`, description)
      .option(
        '--control <addresses>',
        'Operator addresses, comma separated (or $LEDGEGAUGE_CONTROL)',
      )
      .option('--key <key>', 'Operator key (or $LEDGEGAUGE_OPERATOR_KEY)')
      .option('--json', 'Print JSON')
      .option('--request-id <id>', 'confirm: repeat an earlier request whose response was lost')
      .option('--limit <count>', 'history: how many revisions to show')
      .action((...parameters: unknown[]) => {
        const flags = parameters.at(-1) as OperatorFlags;
        const given = parameters.length > 1 ? String(parameters[0]) : '';
        return runAction(async () => {
          const { runOperatorCommand } = await import('./operator-actions.js');
          await runOperatorCommand(command, flags, given);
        });
      });
  };
  add('plan', ' <file>', 'Show what an intent file would change; prints the plan id');
  add('confirm', ' <plan>', 'Apply a plan');
  add('status', '', 'Show revisions, gateways and groups');
  add('history', '', 'Show the latest revisions');
  add('document', '', 'Print the current intents');
}
