/** Faults of links: partitions, packet loss, delays, low bandwidth and resets. */
import { sleep } from '../../../src/common/index.js';
import type { LinkFault } from '../../../emulator/fault-proxy/fault-proxy-settings.js';
import type { Fault, FaultContext } from '../fault.js';
import { pickJournalLeader, pickProcess } from './process-faults.js';

type LinkFaultSettings = Parameters<FaultContext['fleet']['setFault']>[1];

const DURATION_MS = [1_000, 3_000] as const;
/** Longer than the configuration lease. */
const LONG_DURATION_MS = [2_500, 3_500] as const;
const NO_DIRECTION_FAULT = { drop: false, delayMs: 0, jitterMs: 0, bytesPerSecond: 0 };
const DROP = { ...NO_DIRECTION_FAULT, drop: true };
const DROP_BOTH_WAYS: Partial<LinkFault> = { toTarget: DROP, toClient: DROP };
const DROP_TO_TARGET: Partial<LinkFault> = { toTarget: DROP };
const MAX_JITTER_MS = 60;
const RESET_AFTER_BYTES = 2_000;
const SLOW_LINK_BYTES_PER_SECOND = 20_000;

async function injectLinkFault(
  context: FaultContext,
  links: string[],
  fault: LinkFaultSettings,
  duration: readonly [number, number] = DURATION_MS,
): Promise<void> {
  await context.fleet.setFault(links, fault);
  await sleep(context.random.integer(...duration));
  await context.fleet.setFault(links, {});
}

/** Returns the outgoing and incoming links between a zone and the others. */
function linksOfZone(context: FaultContext, zone: string): { out: string[]; into: string[] } {
  const { processes, links } = context.fleet.plan;
  const zoneOf = new Map(processes.map((process) => [process.name, process.zone]));
  const internalLinks = links.filter((link) => zoneOf.has(link.source));
  const out = internalLinks.filter(
    ({ source, target }) => zoneOf.get(source) === zone && zoneOf.get(target) !== zone,
  );
  const into = internalLinks.filter(
    ({ source, target }) => zoneOf.get(source) !== zone && zoneOf.get(target) === zone,
  );
  return { out: out.map((link) => link.id), into: into.map((link) => link.id) };
}

const gatewayCut: Fault = {
  name: 'gateway-cut',
  family: 'network',
  run(context) {
    const { name } = pickProcess(context, 'gateway');
    return injectLinkFault(context, [`${name}>control-*`], DROP_BOTH_WAYS, LONG_DURATION_MS);
  },
};

/** Programs end during the partition; the engine returns with memory held for them. */
const engineCut: Fault = {
  name: 'engine-cut',
  family: 'network',
  run(context) {
    const { name } = pickProcess(context, 'engine');
    return injectLinkFault(context, [`*>${name}`], DROP_BOTH_WAYS);
  },
};

/** The leader is cut off from the other members, but gateways still reach it. */
const journalLeaderIsolated: Fault = {
  name: 'journal-leader-isolated',
  family: 'network',
  async run(context) {
    const { name } = await pickJournalLeader(context);
    const links = [`${name}>control-*`, `control-*>${name}`];
    await injectLinkFault(context, links, DROP_BOTH_WAYS, LONG_DURATION_MS);
  },
};

const zoneCut: Fault = {
  name: 'zone-cut',
  family: 'network',
  run(context) {
    const zone = context.random.pick(context.fleet.plan.deployment.zones);
    const { out, into } = linksOfZone(context, zone);
    return injectLinkFault(context, [...out, ...into], DROP_BOTH_WAYS);
  },
};

/** Outgoing data of the zone is lost; incoming data arrives. */
const zoneCutOneWay: Fault = {
  name: 'zone-cut-one-way',
  family: 'network',
  run(context) {
    const zone = context.random.pick(context.fleet.plan.deployment.zones);
    return injectLinkFault(context, linksOfZone(context, zone).out, DROP_TO_TARGET);
  },
};

const jitter: Fault = {
  name: 'jitter',
  family: 'network',
  run(context) {
    const direction = { ...NO_DIRECTION_FAULT, jitterMs: context.random.integer(5, MAX_JITTER_MS) };
    return injectLinkFault(context, ['*'], { toTarget: direction, toClient: direction });
  },
};

const connectionResets: Fault = {
  name: 'connection-resets',
  family: 'network',
  async run(context) {
    const resetAfterBytes = context.random.integer(1, RESET_AFTER_BYTES);
    const { name } = pickProcess(context, 'gateway');
    await injectLinkFault(context, [`${name}>*`, `client>${name}`], { resetAfterBytes });
  },
};

const halfOpen: Fault = {
  name: 'half-open',
  family: 'network',
  async run(context) {
    const { name } = pickProcess(context, 'control');
    await injectLinkFault(context, [`*>${name}`], { halfOpen: true });
  },
};

const slowLink: Fault = {
  name: 'slow-drip',
  family: 'network',
  run(context) {
    const direction = { ...NO_DIRECTION_FAULT, bytesPerSecond: SLOW_LINK_BYTES_PER_SECOND };
    const { name } = pickProcess(context, 'gateway');
    return injectLinkFault(context, [`${name}>*`], { toTarget: direction, toClient: direction });
  },
};

const linkCut: Fault = {
  name: 'link-cut',
  family: 'network',
  run(context) {
    const { name } = pickProcess(context, 'gateway');
    return injectLinkFault(context, [`${name}>*`], { cut: true });
  },
};

export const NETWORK_FAULTS: readonly Fault[] = [
  gatewayCut,
  engineCut,
  journalLeaderIsolated,
  zoneCut,
  zoneCutOneWay,
  jitter,
  connectionResets,
  halfOpen,
  slowLink,
  linkCut,
];
