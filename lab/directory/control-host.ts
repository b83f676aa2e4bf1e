/**
 * Control process for measuring the directory, with an HTTP endpoint for heartbeats in place of a platform adapter.
 *
 *     node control-host.js SETTINGS
 *
 * SETTINGS is a JSON object of type `ControlHostSettings`. For each line `usage` on standard input, the process writes
 * a `ControlHostUsage` as one line of JSON. It exits at the end of standard input.
 */
import { mkdir } from 'node:fs/promises';
import { type IncomingMessage, type ServerResponse, createServer } from 'node:http';
import { createInterface } from 'node:readline';
import type { BackendRegistration } from '../../src/directory/index.js';
import { ControlNode } from '../../src/nodes/control-node.js';
import { type NodeSettings, hostOf, portOf } from '../../src/nodes/node-settings.js';
import { createLogger } from '../../src/observability/index.js';
import { type ProcessUsage, UsageMeter } from './process-usage.js';

export interface ControlHostSettings {
  node: NodeSettings;
  /** `host:port` of the endpoint for heartbeats, which are registrations in JSON. */
  registrationAddress: string;
}

export interface ControlHostUsage extends ProcessUsage {
  leads: boolean;
  term: number;
}

const HTTP_OK = 200;
const HTTP_UNAVAILABLE = 503;

async function readText(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString('utf8');
}

async function handleHeartbeat(
  node: ControlNode,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  try {
    const registration = JSON.parse(await readText(request)) as BackendRegistration;
    await node.directory.recordHeartbeat(registration);
    response.writeHead(HTTP_OK).end('{}');
  } catch {
    response.writeHead(HTTP_UNAVAILABLE).end('{}');
  }
}

async function start({ node, registrationAddress }: ControlHostSettings): Promise<ControlNode> {
  await mkdir(node.dataFolder!, { recursive: true });
  const control = await ControlNode.start(node, {
    logger: createLogger({ node: node.name }),
    onFatal: (error) => {
      throw error;
    },
  });
  const server = createServer({ noDelay: true }, (request, response) => {
    void handleHeartbeat(control, request, response);
  });
  await new Promise<void>((resolve) => {
    server.listen(portOf(registrationAddress), hostOf(registrationAddress), resolve);
  });
  return control;
}

const control = await start(JSON.parse(process.argv[2]!) as ControlHostSettings);
const meter = new UsageMeter();
console.log('ready');
for await (const line of createInterface({ input: process.stdin })) {
  const usage: ControlHostUsage = { leads: control.leads, term: control.term, ...meter.read() };
  if (line === 'usage') console.log(JSON.stringify(usage));
}
process.exit(0);
