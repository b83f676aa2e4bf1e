/** The letter's fleet: 4 regions, 15 zones, and where nodes, runners and control members are. */

export interface ScaleSize {
  nodes: number;
  runners: number;
  models: number;
  tenants: number;
}

const ZONES_OF_REGIONS = [4, 4, 4, 3];

export interface ScaleZone {
  region: string;
  name: string;
}

export const SCALE_ZONES: readonly ScaleZone[] = ZONES_OF_REGIONS.flatMap((count, region) =>
  Array.from({ length: count }, (_, zone) => ({
    region: `region-${region + 1}`,
    name: `region-${region + 1}-zone-${zone + 1}`,
  })),
);

/** Five members of the intents group: no region has a majority. */
export const CONTROL_ZONES: readonly string[] = [
  'region-1-zone-1',
  'region-1-zone-2',
  'region-2-zone-1',
  'region-3-zone-1',
  'region-4-zone-1',
];

export interface ScaleNode {
  name: string;
  zone: string;
  region: string;
}

export function planNodes(count: number): ScaleNode[] {
  return Array.from({ length: count }, (_, index) => {
    const zone = SCALE_ZONES[index % SCALE_ZONES.length]!;
    return { name: `node-${index}`, zone: zone.name, region: zone.region };
  });
}
