#!/usr/bin/env node
/** The `ledgegauge-lab` command line: runs fleets, load, faults and measurements on one machine. */
import { cac } from 'cac';
import { runAction } from '../../src/cli/run-action.js';
import { runCommandLine } from '../../src/cli/run-command-line.js';
import { type BenchFlags, runBench } from './bench-command.js';
import { type DemoFlags, runDemo } from './demo-command.js';
import { type FleetFlags, runFleet } from './fleet-command.js';
import { type LoadFlags, runLoadCommand } from './load-command.js';
import { type ReportFlags, runReport } from './report-command.js';
import { type SlopesFlags, runSlopes } from './slopes-command.js';
import { type TortureFlags, runTorture } from './torture-command.js';

const cli = cac('ledgegauge-lab');

cli
  .command('demo', 'Start a fleet, run a seeded workload, verify every answer and print a summary')
  .option('--deployment <name>', 'pipeline or consortium', { default: 'pipeline' })
  .option('--seed <number>', 'Seed of the workload', { default: 1 })
  .option('--programs <count>', 'Number of programs to run', { default: 150 })
  .option('--concurrency <count>', 'Number of concurrent programs', { default: 24 })
  .option('--json', 'Print the result as one line of JSON')
  .action((flags: DemoFlags) => runAction(() => runDemo(flags)));

cli
  .command('fleet <action>', 'Start, inspect or stop a fleet: up, status or down')
  .option('--deployment <name>', 'pipeline or consortium', { default: 'pipeline' })
  .option('--seed <number>', 'Seed of the emulators', { default: 1 })
  .option('--time-scale <factor>', 'Time scale of the emulated engines; 1 is real time', {
    default: 0.2,
  })
  .action((action: string, flags: FleetFlags) => runAction(() => runFleet(action, flags)));

cli
  .command('torture', 'Inject seeded faults under load and check every invariant')
  .option('--deployment <name>', 'pipeline or consortium', { default: 'pipeline' })
  .option('--faults <names>', 'Comma-separated fault names, or all', { default: 'all' })
  .option('--seeds <count>', 'Number of consecutive seeds to run', { default: 10 })
  .option('--first-seed <number>', 'First seed', { default: 1 })
  .option('--keep <folder>', 'Folder for the histories of seeds with violations')
  .option('--json', 'Print the result as one line of JSON')
  .action((flags: TortureFlags) => runAction(() => runTorture(flags)));

cli
  .command('slopes', 'Measure how the cost of each role grows with its load')
  .option('--only <names>', 'Comma-separated experiment names, or all', { default: 'all' })
  .option('--output <folder>', 'Folder for the JSON file and the plots', { default: 'slopes' })
  .option('--json', 'Print the result as one line of JSON')
  .action((flags: SlopesFlags) => runAction(() => runSlopes(flags)));

cli
  .command('load', 'Run a seeded workload on a fleet and print its statistics')
  .option('--deployment <name>', 'pipeline or consortium', { default: 'pipeline' })
  .option('--seed <number>', 'Seed of the workload', { default: 1 })
  .option('--seconds <count>', 'Arrival period of programs', { default: 15 })
  .option('--rate <count>', 'Programs per second; if absent, --concurrency programs run at a time')
  .option('--concurrency <count>', 'Number of concurrent programs if there is no --rate', {
    default: 24,
  })
  .option('--time-scale <factor>', 'Time scale of the emulated engines; 1 is real time', {
    default: 0.15,
  })
  .option('--json', 'Print the result as one line of JSON')
  .action((flags: LoadFlags) => runAction(() => runLoadCommand(flags)));

cli
  .command('bench', 'Compare policies on the same seeds and loads')
  .option('--deployment <name>', 'pipeline or consortium', { default: 'pipeline' })
  .option('--seeds <count>', 'Number of consecutive seeds to run', { default: 3 })
  .option('--first-seed <number>', 'First seed', { default: 1 })
  .option('--loads <shares>', 'Fractions of the capacity of the fleet', { default: '0.6,0.9,1.5' })
  .option('--seconds <count>', 'Arrival period of programs per run', { default: 8 })
  .option('--output <folder>', 'Folder for the JSON file', { default: 'bench' })
  .option('--json', 'Print the result as one line of JSON')
  .action((flags: BenchFlags) => runAction(() => runBench(flags)));

cli
  .command('report', 'Generate a page with plots from the results of bench and torture')
  .option('--input <folder>', 'Folder with the JSON files', { default: 'docs/data' })
  .option('--output <folder>', 'Folder for the page', { default: 'report' })
  .action((flags: ReportFlags) => runAction(() => runReport(flags)));

await runCommandLine(cli);
