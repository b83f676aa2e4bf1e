#!/usr/bin/env node
/** The `ledgegauge-lab` command line: fleets, load, faults and measurements on one machine. */
import { cac } from 'cac';
import { runAction } from '../../src/cli/run-daemon.js';
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
  .command('demo', 'Start a fleet, run a seeded workload, check every answer, show a table')
  .option('--deployment <name>', 'pipeline or consortium', { default: 'pipeline' })
  .option('--seed <number>', 'Seed of the workload', { default: 1 })
  .option('--programs <count>', 'Programs to run', { default: 150 })
  .option('--concurrency <count>', 'Programs at a time', { default: 24 })
  .option('--json', 'Print the result as one line of JSON')
  .action((flags: DemoFlags) => runAction(() => runDemo(flags)));

cli
  .command('fleet <action>', 'up, status or down')
  .option('--deployment <name>', 'pipeline or consortium', { default: 'pipeline' })
  .option('--seed <number>', 'Seed of the emulators', { default: 1 })
  .option('--time-scale <factor>', 'Time of the emulated engines; 1 is real time', { default: 0.2 })
  .action((action: string, flags: FleetFlags) => runAction(() => runFleet(action, flags)));

cli
  .command('torture', 'Inject seeded faults under load and check every promise')
  .option('--deployment <name>', 'pipeline or consortium', { default: 'pipeline' })
  .option('--faults <names>', 'all, or names separated by commas', { default: 'all' })
  .option('--seeds <count>', 'Seeds to run', { default: 10 })
  .option('--first-seed <number>', 'The first seed; the others follow', { default: 1 })
  .option('--keep <folder>', 'Keep the histories of seeds with violations here')
  .option('--json', 'Print the result as one line of JSON')
  .action((flags: TortureFlags) => runAction(() => runTorture(flags)));

cli
  .command('slopes', 'Measure how the cost of each role grows with what drives it')
  .option('--only <names>', 'all, or experiments separated by commas', { default: 'all' })
  .option('--output <folder>', 'Where the JSON file and the plots go', { default: 'slopes' })
  .option('--json', 'Print the result as one line of JSON')
  .action((flags: SlopesFlags) => runAction(() => runSlopes(flags)));

cli
  .command('load', 'Run a seeded workload on a fleet and show its figures')
  .option('--deployment <name>', 'pipeline or consortium', { default: 'pipeline' })
  .option('--seed <number>', 'Seed of the workload', { default: 1 })
  .option('--seconds <count>', 'Time in which programs arrive', { default: 15 })
  .option('--rate <count>', 'Programs a second; without it, as many as --concurrency at a time')
  .option('--concurrency <count>', 'Programs at a time, when there is no rate', { default: 24 })
  .option('--time-scale <factor>', 'Time of the emulated engines; 1 is real time', {
    default: 0.15,
  })
  .option('--json', 'Print the result as one line of JSON')
  .action((flags: LoadFlags) => runAction(() => runLoadCommand(flags)));

cli
  .command('bench', 'Compare policies on the same seeds and loads')
  .option('--deployment <name>', 'pipeline or consortium', { default: 'pipeline' })
  .option('--seeds <count>', 'Seeds to run', { default: 3 })
  .option('--first-seed <number>', 'The first seed', { default: 1 })
  .option('--loads <shares>', 'Shares of what the fleet can carry', { default: '0.6,0.9,1.5' })
  .option('--seconds <count>', 'Time in which programs arrive, for each run', { default: 8 })
  .option('--output <folder>', 'Where the JSON file goes', { default: 'bench' })
  .option('--json', 'Print the result as one line of JSON')
  .action((flags: BenchFlags) => runAction(() => runBench(flags)));

cli
  .command('report', 'Make one page with plots from the files of bench and torture')
  .option('--input <folder>', 'Where the JSON files are', { default: 'docs/data' })
  .option('--output <folder>', 'Where the page goes', { default: 'report' })
  .action((flags: ReportFlags) => runAction(() => runReport(flags)));

await runCommandLine(cli);
