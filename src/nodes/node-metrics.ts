/** Metrics of a process that is a member of a consensus group. */
import { Registry } from 'prom-client';
import type { ReplicatedGroup, ReplicationTraffic } from '../consensus/index.js';
import type { WriteAheadLog } from '../log-store/index.js';
import { addGauge } from '../observability/index.js';

const MS_PER_SECOND = 1_000;

export interface MemberMetricsOptions {
  findGroup: () => ReplicatedGroup | undefined;
  wal: WriteAheadLog;
}

export function createMemberMetrics({ findGroup, wal }: MemberMetricsOptions): Registry {
  const registry = new Registry();
  const ofGroup = (read: (group: ReplicatedGroup) => number) => (): number => {
    const group = findGroup();
    return group ? read(group) : 0;
  };
  const add = (name: string, help: string, read: () => number): void =>
    addGauge(registry, `ledgegauge_group_${name}`, help, read);
  add(
    'leading',
    'Whether this member leads its group',
    ofGroup((group) => Number(group.isLeader)),
  );
  add(
    'term',
    'Term of this member',
    ofGroup((group) => group.term),
  );
  add(
    'election_timeout_seconds',
    'Election timeout in force; above the configured one while round trips take long',
    ofGroup((group) => group.elections.timeoutMs / MS_PER_SECOND),
  );
  add(
    'commit_index',
    'Last log index known to be committed',
    ofGroup((group) => group.commitIndex),
  );
  add(
    'applied_index',
    'Last log index applied',
    ofGroup((group) => group.applier.appliedIndex),
  );
  add(
    'members',
    'Members in the latest configuration',
    ofGroup((group) => group.configuration.members.length),
  );
  add(
    'refused_commands',
    'Commands refused since there were more than were committed in time',
    ofGroup((group) => group.admission.refused),
  );
  const addTraffic = (name: string, help: string, purpose: keyof ReplicationTraffic): void =>
    add(
      `sent_${name}_bytes`,
      help,
      ofGroup((group) => group.traffic[purpose]),
    );
  addTraffic('voter_entries', 'Bytes of entries sent to voters, repeats apart', 'voterEntries');
  addTraffic('learner_entries', 'Bytes of entries sent to learners', 'learnerEntries');
  addTraffic('repeated_entries', 'Bytes of entries sent again', 'repeatedEntries');
  addTraffic('snapshots', 'Bytes of snapshots sent', 'snapshots');
  add('log_syncs', 'Syncs of the write-ahead log', () => wal.counters.syncs);
  add('log_bytes', 'Bytes written to the write-ahead log', () => wal.counters.bytes);
  return registry;
}
