/** Processes that have announced themselves to this leader recently, kept in memory only. */
import { monotonicMs } from '../common/index.js';
import type { NodeAnnouncement, NodeRole } from './messages.js';

interface RosterEntry {
  node: NodeAnnouncement;
  announcedAt: number;
}

/** Time without an announcement after which a process no longer counts as present. */
const PRESENT_WINDOW_MS = 2_500;
/** Time without an announcement after which a process is removed from the roster. */
const REMOVE_AFTER_MS = 30_000;

export class NodeRoster {
  private readonly entries = new Map<string, RosterEntry>();

  /** @returns whether the node is new or has changed its identity or address */
  record(node: NodeAnnouncement): boolean {
    const known = this.entries.get(node.name);
    this.entries.set(node.name, { node, announcedAt: monotonicMs() });
    return known?.node.address !== node.address || known.node.memberId !== node.memberId;
  }

  /** Nodes of a role that announced themselves within the present window. */
  present(role: NodeRole): NodeAnnouncement[] {
    const since = monotonicMs() - PRESENT_WINDOW_MS;
    return [...this.entries.values()]
      .filter((entry) => entry.node.role === role && entry.announcedAt >= since)
      .map((entry) => entry.node);
  }

  /** All nodes of a role in the roster. */
  known(role: NodeRole): NodeAnnouncement[] {
    return [...this.entries.values()]
      .filter((entry) => entry.node.role === role)
      .map((entry) => entry.node);
  }

  find(name: string): NodeAnnouncement | undefined {
    return this.entries.get(name)?.node;
  }

  /** @returns whether any node was removed */
  removeSilent(): boolean {
    const before = monotonicMs() - REMOVE_AFTER_MS;
    const silent = [...this.entries].filter(([, entry]) => entry.announcedAt < before);
    for (const [name] of silent) this.entries.delete(name);
    return silent.length > 0;
  }

  clear(): void {
    this.entries.clear();
  }
}
