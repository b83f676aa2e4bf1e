/** CPU profiles in the format of V8: times by function and by purpose. */

export interface CallFrame {
  functionName: string;
  url: string;
}

export interface ProfileNode {
  id: number;
  callFrame: CallFrame;
  /** Ids of the called functions' nodes. */
  children?: number[];
}

/** A profile as defined by the inspector protocol. */
export interface CpuProfile {
  nodes: ProfileNode[];
  /** Ids of the sampled nodes. */
  samples: number[];
  /** Time since the previous sample, or since the start of the profile, in microseconds. */
  timeDeltas: number[];
}

const MICROSECONDS_PER_MS = 1_000;

/**
 * Sums the time of samples by name. A sample's function counts until the next sample is taken.
 * @param nameOf returns the name under which a node counts
 * @returns milliseconds by name
 */
export function sumSelfTimes(
  { samples, timeDeltas }: Pick<CpuProfile, 'samples' | 'timeDeltas'>,
  nameOf: (nodeId: number) => string,
): Map<string, number> {
  const times = new Map<string, number>();
  samples.forEach((id, index) => {
    const milliseconds = (timeDeltas[index + 1] ?? 0) / MICROSECONDS_PER_MS;
    const name = nameOf(id);
    times.set(name, (times.get(name) ?? 0) + milliseconds);
  });
  return times;
}

/**
 * Purpose by node id; a node without a purpose of its own has that of its nearest caller with one.
 * @param defaultPurpose of nodes none of whose callers has a purpose
 */
export function inheritPurposes(
  nodes: readonly ProfileNode[],
  purposeOf: (frame: CallFrame) => string | undefined,
  defaultPurpose: string,
): Map<number, string> {
  const byId = new Map(nodes.map((node) => [node.id, node]));
  const purposes = new Map<number, string>();
  // Not recursive: a call tree can be deeper than the stack.
  const pending: [ProfileNode, string][] = nodes[0] ? [[nodes[0], defaultPurpose]] : [];
  for (let next = pending.pop(); next; next = pending.pop()) {
    const [{ id, callFrame, children = [] }, inheritedPurpose] = next;
    const purpose = purposeOf(callFrame) ?? inheritedPurpose;
    purposes.set(id, purpose);
    for (const child of children) pending.push([byId.get(child)!, purpose]);
  }
  return purposes;
}

/** Times by name, most first. */
export function sortedTimes(times: ReadonlyMap<string, number>): [string, number][] {
  return [...times].sort(([, left], [, right]) => right - left);
}
