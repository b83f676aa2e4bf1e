/** What the operator commands do: `plan`, `confirm`, `status`, `history` and `document`. */
import { readFileSync } from 'node:fs';
import { parse, stringify } from 'yaml';
import {
  type DocumentResponse,
  type IntentChange,
  type IntentDocument,
  type PartialDocument,
  type Plan,
  type Revision,
  findInconsistencies,
  intentDocumentSchema,
  isPartialDeclaration,
  partialDocumentSchema,
} from '../intents/index.js';
import type { SystemStatus } from '../operators/index.js';
import { SettingsError, checkSettings } from '../settings/index.js';
import { OperatorClient } from './operator-client.js';
import { UsageError } from './run-action.js';

const KEY_VARIABLE = 'LEDGEGAUGE_OPERATOR_KEY';
const CONTROL_VARIABLE = 'LEDGEGAUGE_CONTROL';

export interface OperatorFlags {
  control?: string;
  key?: string;
  json?: boolean;
  requestId?: string;
  limit?: number;
}

/** Carries out one command; the argument is empty for commands without one. */
type OperatorAction = (
  client: OperatorClient,
  flags: OperatorFlags,
  argument: string,
) => Promise<void>;

export type OperatorCommand = 'plan' | 'confirm' | 'status' | 'history' | 'document';

const ACTIONS: Readonly<Record<OperatorCommand, OperatorAction>> = {
  plan: showPlan,
  confirm: confirmPlan,
  status: showStatus,
  history: showHistory,
  document: showDocument,
};

/** @throws UsageError without the address or the key of a control process */
export async function runOperatorCommand(
  command: OperatorCommand,
  flags: OperatorFlags,
  argument: string,
): Promise<void> {
  await ACTIONS[command](createClient(flags), flags, argument);
}

function createClient(flags: OperatorFlags): OperatorClient {
  const control = flags.control ?? process.env[CONTROL_VARIABLE];
  const key = flags.key ?? process.env[KEY_VARIABLE];
  if (!control) throw new UsageError(`--control or $${CONTROL_VARIABLE} is required`);
  if (!key) throw new UsageError(`--key or $${KEY_VARIABLE} is required`);
  return new OperatorClient({ addresses: control.split(','), key });
}

async function showPlan(client: OperatorClient, flags: OperatorFlags, file: string): Promise<void> {
  const plan = await client.post<Plan>('/v1/plans', readDeclaration(file));
  print(flags, plan, [
    `plan ${plan.id} on revision ${plan.baseRevision}: ${plan.changes.length} change(s)`,
    ...plan.changes.map(describeChange),
    `confirm with: ledgegauge confirm ${plan.id}`,
  ]);
}

/** Reads a complete document, or with `set` or `remove` a partial one. */
function readDeclaration(file: string): IntentDocument | PartialDocument {
  const raw = readYaml(file);
  if (isPartialDeclaration(raw)) return checkSettings(partialDocumentSchema, raw, file);
  const document = checkSettings(intentDocumentSchema, raw, file);
  const problems = findInconsistencies(document);
  if (problems.length === 0) return document;
  throw new SettingsError(problems.map((problem) => `${file}: ${problem}`).join('\n'), {
    step: 'intents.check',
    peer: file,
  });
}

async function confirmPlan(
  client: OperatorClient,
  flags: OperatorFlags,
  planId: string,
): Promise<void> {
  const path = `/v1/plans/${encodeURIComponent(planId)}/confirm`;
  const revision = await client.post<Revision>(path, {}, flags.requestId);
  print(flags, revision, [`revision ${revision.revision} accepted`]);
}

async function showStatus(client: OperatorClient, flags: OperatorFlags): Promise<void> {
  const status = await client.get<SystemStatus>('/v1/status');
  const { configuration, groups } = status;
  const inForce = configuration.isInForce ? 'in force' : 'not in force everywhere yet';
  print(flags, status, [
    `revision ${configuration.acceptedRevision}: ${inForce}`,
    ...configuration.gateways.map(
      ({ gateway, zone, revision, address }) =>
        `  gateway ${gateway} (${zone}) at ${address}: revision ${revision}`,
    ),
    ...groups.map(
      ({ group, state, term, appliedIndex, voters }) =>
        `  group ${group}: ${state} in term ${term}, applied ${appliedIndex}, ${voters.length} voters`,
    ),
  ]);
}

async function showHistory(client: OperatorClient, flags: OperatorFlags): Promise<void> {
  const revisions = await client.get<Revision[]>(`/v1/history?limit=${flags.limit ?? 20}`);
  const lines = revisions.flatMap(({ revision, operator, changes }) => [
    `revision ${revision} by ${operator}`,
    ...changes.map(describeChange),
  ]);
  print(flags, revisions, lines);
}

/** Prints the document as YAML that can be edited and passed to `plan`. */
async function showDocument(client: OperatorClient, flags: OperatorFlags): Promise<void> {
  const answer = await client.get<DocumentResponse>('/v1/document');
  const { revision, contentHash, document } = answer;
  print(flags, answer, [
    `# revision ${revision}, content ${contentHash}`,
    stringify(document).trimEnd(),
  ]);
}

function describeChange({ action, section, id }: IntentChange): string {
  const signs = { add: '+', change: '~', remove: '-' } as const;
  return `  ${signs[action]} ${section}/${id}`;
}

function readYaml(file: string): unknown {
  try {
    return parse(readFileSync(file, 'utf8'));
  } catch (cause) {
    throw new SettingsError(`${file}: cannot be read as YAML`, {
      step: 'intents.read',
      peer: file,
      cause,
    });
  }
}

function print(flags: OperatorFlags, value: unknown, lines: string[]): void {
  const text = flags.json ? JSON.stringify(value) : lines.join('\n');
  process.stdout.write(`${text}\n`);
}
