/** The processes that have announced themselves to this leader lately; kept in memory only. */
import { monotonicMs } from '../common/index.js';
import type { NodeAnnouncement, NodeRole } from './messages.js';

interface RosterEntry {
  node: NodeAnnouncement;
  heardAt: number;
}

/** A process that has been silent for so long is no longer counted, in milliseconds. */
const PRESENT_WINDOW_MS = 2_500;
/** A process that has been silent for so long is forgotten, in milliseconds. */
const FORGET_AFTER_MS = 30_000;

export class NodeRoster {
  private readonly entries = new Map<string, RosterEntry>();

  /** @returns whether the node is new or came back with another identity or address */
  note(node: NodeAnnouncement): boolean {
    const known = this.entries.get(node.name);
    this.entries.set(node.name, { node, heardAt: monotonicMs() });
    return known?.node.address !== node.address || known.node.memberId !== node.memberId;
  }

  /** Nodes of a role heard within the present window. */
  present(role: NodeRole): NodeAnnouncement[] {
    const since = monotonicMs() - PRESENT_WINDOW_MS;
    return [...this.entries.values()]
      .filter((entry) => entry.node.role === role && entry.heardAt >= since)
      .map((entry) => entry.node);
  }

  /** All nodes of a role that are not forgotten yet. */
  known(role: NodeRole): NodeAnnouncement[] {
    return [...this.entries.values()]
      .filter((entry) => entry.node.role === role)
      .map((entry) => entry.node);
  }

  find(name: string): NodeAnnouncement | undefined {
    return this.entries.get(name)?.node;
  }

  /** @returns whether any node was forgotten */
  forgetSilent(): boolean {
    const before = monotonicMs() - FORGET_AFTER_MS;
    const silent = [...this.entries].filter(([, entry]) => entry.heardAt < before);
    for (const [name] of silent) this.entries.delete(name);
    return silent.length > 0;
  }

  clear(): void {
    this.entries.clear();
  }
}
