/**
 * Compiles the TypeScript project like `tsc`, but replaces each output file at once: another command may load from the
 * same `dist` or build it at the same time.
 *
 *     node scripts/build.mjs [TSCONFIG]     default: tsconfig.json
 */
import ts from 'typescript';
import { writeFileAtomically } from './write-file-atomically.mjs';

const [configPath = 'tsconfig.json'] = process.argv.slice(2);

const formatHost = {
  getCanonicalFileName: (name) => name,
  getCurrentDirectory: () => process.cwd(),
  getNewLine: () => '\n',
};

function report(diagnostics) {
  if (diagnostics.length > 0) console.error(ts.formatDiagnostics(diagnostics, formatHost));
}

function readConfig() {
  const fail = (diagnostic) => {
    report([diagnostic]);
    process.exit(1);
  };
  const system = { ...ts.sys, onUnRecoverableConfigFileDiagnostic: fail };
  return ts.getParsedCommandLineOfConfigFile(configPath, {}, system);
}

const { options, fileNames, errors } = readConfig();
const system = { ...ts.sys, writeFile: writeFileAtomically };
const program = ts.createIncrementalProgram({
  rootNames: fileNames,
  options,
  configFileParsingDiagnostics: errors,
  host: ts.createIncrementalCompilerHost(options, system),
});
const diagnostics = [
  ...program.getConfigFileParsingDiagnostics(),
  ...program.getOptionsDiagnostics(),
  ...program.getGlobalDiagnostics(),
  ...program.getSyntacticDiagnostics(),
  ...program.getSemanticDiagnostics(),
  ...program.emit().diagnostics,
];
report(diagnostics);
process.exitCode = diagnostics.length > 0 ? 1 : 0;
