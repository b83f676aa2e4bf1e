/** Metrics of a process that is a member of a consensus group. */
import { Gauge, Registry } from 'prom-client';
import type { ReplicatedGroup, ReplicationTraffic } from '../consensus/index.js';
import type { WriteAheadLog } from '../log-store/index.js';
import { addGauge } from '../observability/index.js';

const MS_PER_SECOND = 1_000;

export interface MemberMetricsOptions {
  groups: () => readonly ReplicatedGroup[];
  wal: WriteAheadLog;
}

/** Figures of a group have the label `group`. */
export function createMemberMetrics({ groups, wal }: MemberMetricsOptions): Registry {
  const registry = new Registry();
  const add = (name: string, help: string, read: (group: ReplicatedGroup) => number): void =>
    addGroupGauge(registry, { name: `ledgegauge_group_${name}`, help, groups, read });
  add('leading', 'Whether this member leads its group', (group) => Number(group.isLeader));
  add('term', 'Term of this member', (group) => group.term);
  add(
    'election_timeout_seconds',
    'Election timeout in force; above the configured one while round trips take long',
    (group) => group.elections.timeoutMs / MS_PER_SECOND,
  );
  add('commit_index', 'Last log index known to be committed', (group) => group.commitIndex);
  add('applied_index', 'Last log index applied', (group) => group.applier.appliedIndex);
  add(
    'members',
    'Members in the latest configuration',
    (group) => group.configuration.members.length,
  );
  add(
    'refused_commands',
    'Commands refused since there were more than were committed in time',
    (group) => group.admission.refused,
  );
  const addTraffic = (name: string, help: string, purpose: keyof ReplicationTraffic): void =>
    add(`sent_${name}_bytes`, help, (group) => group.traffic[purpose]);
  addTraffic('voter_entries', 'Bytes of entries sent to voters, repeats apart', 'voterEntries');
  addTraffic('learner_entries', 'Bytes of entries sent to learners', 'learnerEntries');
  addTraffic('repeated_entries', 'Bytes of entries sent again', 'repeatedEntries');
  addTraffic('snapshots', 'Bytes of snapshots sent', 'snapshots');
  const addOfLog = (name: string, help: string, read: () => number): void =>
    addGauge(registry, `ledgegauge_group_log_${name}`, help, read);
  addOfLog('syncs', 'Syncs of the write-ahead log', () => wal.counters.syncs);
  addOfLog('bytes', 'Bytes written to the write-ahead log', () => wal.counters.bytes);
  return registry;
}

interface GroupGauge {
  name: string;
  help: string;
  groups: () => readonly ReplicatedGroup[];
  read: (group: ReplicatedGroup) => number;
}

function addGroupGauge(registry: Registry, { name, help, groups, read }: GroupGauge): void {
  new Gauge({
    name,
    help,
    labelNames: ['group'],
    registers: [registry],
    collect() {
      for (const group of groups()) this.set({ group: group.name }, read(group));
    },
  });
}
