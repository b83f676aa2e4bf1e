/** The predefined deployments: zones, process counts and network delays. */
import { LedgegaugeError } from '../../src/common/index.js';

export type DeploymentName = 'pipeline' | 'consortium';

export interface BackendGroup {
  /** Prefix of the backends' names. */
  name: string;
  count: number;
}

export interface Deployment {
  name: DeploymentName;
  zones: string[];
  /** Zone of each control process. */
  controlZones: string[];
  engines: BackendGroup;
  services: BackendGroup;
  /** Names of the services that the service backends offer. */
  serviceNames: string[];
  model: string;
  tenants: string[];
  /** One-way delay between two zones, in milliseconds. */
  zoneDelayMs: number;
  /** One-way delay between clients and any zone, in milliseconds. */
  clientDelayMs: number;
}

const PIPELINE: Deployment = {
  name: 'pipeline',
  zones: ['cairo-a', 'cairo-b', 'cairo-c'],
  controlZones: ['cairo-a', 'cairo-b', 'cairo-c'],
  engines: { name: 'review', count: 8 },
  services: { name: 'status', count: 3 },
  serviceNames: ['build-status', 'log-fetch', 'heartbeat', 'post-status'],
  model: 'review-model',
  tenants: ['transport', 'health', 'finance', 'interior'],
  zoneDelayMs: 0.5,
  clientDelayMs: 0.5,
};

const CONSORTIUM: Deployment = {
  name: 'consortium',
  zones: ['poa-1', 'poa-2', 'fln-1', 'cwb-1'],
  // Five members: the loss of any one zone leaves a majority.
  controlZones: ['poa-1', 'poa-2', 'fln-1', 'cwb-1', 'fln-1'],
  engines: { name: 'shared', count: 10 },
  services: { name: 'portal', count: 4 },
  serviceNames: ['payslip', 'portal-status', 'heartbeat', 'pay-worker'],
  model: 'payroll-model',
  tenants: ['bureau-rs', 'bureau-sc', 'bureau-pr', 'bureau-litoral', 'bureau-serra'],
  zoneDelayMs: 0.3,
  clientDelayMs: 4,
};

export const DEPLOYMENTS: Readonly<Record<DeploymentName, Deployment>> = {
  pipeline: PIPELINE,
  consortium: CONSORTIUM,
};

/** @throws LedgegaugeError if the deployment is unknown */
export function findDeployment(name: string): Deployment {
  const found = Object.values(DEPLOYMENTS).find((deployment) => deployment.name === name);
  if (found) return found;
  const known = Object.keys(DEPLOYMENTS).join(' or ');
  throw new LedgegaugeError(`--deployment must be ${known}`, { step: 'cli.usage' });
}

/** Returns the zone of the process with this index; processes are spread over zones in turn. */
export function zoneOf(deployment: Deployment, index: number): string {
  return deployment.zones[index % deployment.zones.length]!;
}
