/** Plans the processes of a fleet, their settings and the proxied links between them. */
import { createHash } from 'node:crypto';
import { join } from 'node:path';
import type { IntentDocument } from '../../src/intents/index.js';
import { PortAllocator } from './ports.js';
import { type Deployment, zoneOf } from './topology.js';

export type ProcessKind =
  'control' | 'gateway' | 'engine' | 'service' | 'tool' | 'weights' | 'machines' | 'fault-proxy';

export interface PlannedProcess {
  kind: ProcessKind;
  name: string;
  zone: string;
  /** Address that other processes connect to. */
  address: string;
  statusAddress?: string;
  operatorAddress?: string;
  dataFolder?: string;
  settings: Record<string, unknown>;
}

export interface PlannedLink {
  id: string;
  source: string;
  target: string;
  /** Zone whose proxy carries the link. */
  proxyZone: string;
  port: number;
  targetAddress: string;
  baseDelayMs: number;
}

export interface FleetPlan {
  deployment: Deployment;
  processes: PlannedProcess[];
  links: PlannedLink[];
  operatorKey: string;
  /** API key of each tenant. */
  tenantKeys: Record<string, string>;
  intents: IntentDocument;
  /** Proxied addresses of the gateways for clients, in the order of the gateways. */
  clientGateways: string[];
}

export interface FleetPlanOptions {
  deployment: Deployment;
  workFolder: string;
  /** Wall-clock time per unit of model time of the engines. */
  timeScale: number;
  journalGroups: number;
  seed: number;
  /** Allocates ports and keeps them reserved until the fleet is down. */
  ports: PortAllocator;
  /** Settings that override those of each gateway, for example a routing policy. */
  gatewaySettings?: Record<string, unknown>;
  /** Settings that override those of each engine. */
  engineSettings?: Record<string, unknown>;
  /** Settings that override those of each control process. */
  controlSettings?: Record<string, unknown>;
}

const HOST = '127.0.0.1';
const CLIENT = 'client';
const CLUSTER_SECRET = 'secret-of-the-lab-only';
const OPERATOR_KEY = 'operator-key-of-the-lab';

export async function planFleet(options: FleetPlanOptions): Promise<FleetPlan> {
  const { deployment, ports } = options;
  const processes = await planProcesses(options);
  const links = await planLinks(ports, deployment, processes);
  for (const process of processes) {
    if (process.kind === 'control' || process.kind === 'gateway') {
      process.settings.network = { dialOverrides: dialOverridesOf(process, links) };
    }
  }
  processes.unshift(...(await planProxies(ports, deployment, links)));
  const clientGateways = links
    .filter((link) => link.source === CLIENT)
    .map((link) => `${HOST}:${link.port}`);
  const tenantKeys = Object.fromEntries(
    deployment.tenants.map((tenant) => [tenant, `key-of-${tenant}`]),
  );
  const intents = planIntents(deployment, processes, tenantKeys);
  const operatorKey = OPERATOR_KEY;
  return { deployment, processes, links, operatorKey, tenantKeys, intents, clientGateways };
}

function sha256(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

async function planProcesses(options: FleetPlanOptions): Promise<PlannedProcess[]> {
  const { deployment } = options;
  const firstZone = deployment.zones[0]!;
  const [weightsPort, machinesPort] = await options.ports.allocate(2);
  const machines = simpleProcess('machines', 'machines-1', firstZone, machinesPort!, {});
  const controls = await planControls(options, machines.address);
  const gateways = await Promise.all(
    deployment.zones.map((zone, index) => planGateway(options, controls, zone, index)),
  );
  const weights = simpleProcess('weights', 'weights-1', firstZone, weightsPort!, {
    transferTime: '100ms',
  });
  const engines = await planEngines(options);
  const services = await planServices(options);
  return [weights, machines, ...engines, ...services, ...controls, ...gateways];
}

async function planControls(
  options: FleetPlanOptions,
  machineList: string,
): Promise<PlannedProcess[]> {
  const { deployment, workFolder, journalGroups } = options;
  const ports = await options.ports.allocate(deployment.controlZones.length * 3);
  const members = deployment.controlZones.map((zone, index) => ({
    name: `control-${index + 1}`,
    zone,
    address: `${HOST}:${ports[index * 3]!}`,
  }));
  return members.map(({ name, zone, address }, index) => {
    const [internalPort, operatorPort, statusPort] = ports.slice(index * 3, index * 3 + 3);
    const dataFolder = join(workFolder, 'data', name);
    return {
      kind: 'control',
      name,
      zone,
      address,
      operatorAddress: `${HOST}:${operatorPort}`,
      statusAddress: `${HOST}:${statusPort}`,
      dataFolder,
      settings: {
        node: { name, zone },
        listen: { host: HOST, internalPort, operatorPort, statusPort },
        dataFolder,
        cluster: { secret: CLUSTER_SECRET, members, journalGroups, replicas: members.length },
        platform: { machineList },
        operators: [{ name: 'lab', keyHash: sha256(OPERATOR_KEY) }],
        ...options.controlSettings,
      },
    };
  });
}

async function planGateway(
  options: FleetPlanOptions,
  controls: PlannedProcess[],
  zone: string,
  index: number,
): Promise<PlannedProcess> {
  const name = `gateway-${index + 1}`;
  const [callerPort, statusPort] = await options.ports.allocate(2);
  // Control processes of the same zone come first.
  const ordered = [
    ...controls.filter((control) => control.zone === zone),
    ...controls.filter((control) => control.zone !== zone),
  ];
  return {
    kind: 'gateway',
    name,
    zone,
    address: `${HOST}:${callerPort}`,
    statusAddress: `${HOST}:${statusPort}`,
    settings: {
      node: { name, zone },
      listen: { host: HOST, callerPort, statusPort },
      cluster: {
        secret: CLUSTER_SECRET,
        controlAddresses: ordered.map((control) => control.address),
        journalGroups: options.journalGroups,
      },
      ...options.gatewaySettings,
    },
  };
}

async function planEngines(options: FleetPlanOptions): Promise<PlannedProcess[]> {
  const { deployment, timeScale, seed } = options;
  const { name: prefix, count } = deployment.engines;
  const ports = await options.ports.allocate(count);
  return ports.map((port, index) =>
    simpleProcess('engine', `${prefix}-${index + 1}`, zoneOf(deployment, index), port, {
      timeScale,
      cacheEvents: { seed: seed + index },
      recordFile: recordFilePath(options.workFolder, `${prefix}-${index + 1}`),
      ...options.engineSettings,
    }),
  );
}

async function planServices(options: FleetPlanOptions): Promise<PlannedProcess[]> {
  const { deployment, seed } = options;
  const { name: prefix, count } = deployment.services;
  const ports = await options.ports.allocate(count);
  return ports.map((port, index) =>
    simpleProcess('service', `${prefix}-${index + 1}`, zoneOf(deployment, index), port, {
      seed: seed + index,
      recordFile: recordFilePath(options.workFolder, `${prefix}-${index + 1}`),
    }),
  );
}

/** Path of the file to which a backend appends its records; kept when the backend restarts. */
export function recordFilePath(workFolder: string, backend: string): string {
  return join(workFolder, 'records', `${backend}.jsonl`);
}

function simpleProcess(
  kind: ProcessKind,
  name: string,
  zone: string,
  port: number,
  settings: Record<string, unknown>,
): PlannedProcess {
  const node = { name, zone };
  const address = `${HOST}:${port}`;
  return {
    kind,
    name,
    zone,
    address,
    settings: { node, listen: { host: HOST, port }, ...settings },
  };
}

interface LinkEndpoints {
  source: string;
  sourceZone: string | undefined;
  target: PlannedProcess;
}

async function planLinks(
  allocator: PortAllocator,
  deployment: Deployment,
  processes: PlannedProcess[],
): Promise<PlannedLink[]> {
  const processesOf = (...kinds: ProcessKind[]): PlannedProcess[] =>
    processes.filter((process) => kinds.includes(process.kind));
  const endpoints: LinkEndpoints[] = [];
  for (const source of processesOf('gateway')) {
    for (const target of processesOf('control', 'engine', 'service')) {
      endpoints.push({ source: source.name, sourceZone: source.zone, target });
    }
  }
  for (const source of processesOf('control')) {
    for (const target of processesOf('control', 'engine')) {
      if (target === source) continue;
      endpoints.push({ source: source.name, sourceZone: source.zone, target });
    }
  }
  for (const target of processesOf('gateway')) {
    endpoints.push({ source: CLIENT, sourceZone: undefined, target });
  }
  const ports = await allocator.allocate(endpoints.length);
  return endpoints.map(({ source, sourceZone, target }, index) => ({
    id: `${source}>${target.name}`,
    source,
    target: target.name,
    proxyZone: sourceZone ?? target.zone,
    port: ports[index]!,
    targetAddress: target.address,
    baseDelayMs: linkDelayMs(deployment, sourceZone, target.zone),
  }));
}

function linkDelayMs(
  deployment: Deployment,
  sourceZone: string | undefined,
  targetZone: string,
): number {
  if (sourceZone === undefined) return deployment.clientDelayMs;
  return sourceZone === targetZone ? 0 : deployment.zoneDelayMs;
}

function dialOverridesOf(process: PlannedProcess, links: PlannedLink[]): Record<string, string> {
  const own = links.filter((link) => link.source === process.name);
  return Object.fromEntries(own.map((link) => [link.targetAddress, `${HOST}:${link.port}`]));
}

/** One proxy per zone carries links that start in the zone and client links into it. */
async function planProxies(
  allocator: PortAllocator,
  deployment: Deployment,
  links: PlannedLink[],
): Promise<PlannedProcess[]> {
  const ports = await allocator.allocate(deployment.zones.length);
  return deployment.zones.map((zone, index) => {
    const name = `proxy-${zone}`;
    const own = links.filter((link) => link.proxyZone === zone);
    return {
      kind: 'fault-proxy',
      name,
      zone,
      address: `${HOST}:${ports[index]}`,
      settings: {
        node: { name, zone },
        listen: { host: HOST, controlPort: ports[index] },
        links: own.map(({ id, port, targetAddress, baseDelayMs }) => ({
          id,
          port,
          target: targetAddress,
          baseDelayMs,
        })),
      },
    };
  });
}

function planIntents(
  deployment: Deployment,
  processes: PlannedProcess[],
  tenantKeys: Record<string, string>,
): IntentDocument {
  const backends = processes.filter(({ kind }) => kind === 'engine' || kind === 'service');
  return {
    models: [{ id: deployment.model, version: 'v1', adapters: [] }],
    tenants: deployment.tenants.map((id) => ({
      id,
      keyHashes: [sha256(tenantKeys[id]!)],
      models: [deployment.model],
      weight: 1,
      maxProgramBudget: 10_000_000,
    })),
    backends: backends.map(({ kind, name, zone, address }) => ({
      id: name,
      kind: kind === 'engine' ? 'engine' : 'service',
      zone,
      address,
      models: kind === 'engine' ? [deployment.model] : [],
      services: kind === 'service' ? deployment.serviceNames : [],
      state: 'active',
    })),
  };
}
