/** Reads the records that backends appended to their files since the previous read. */
import { closeSync, existsSync, fstatSync, openSync, readSync } from 'node:fs';
import type { Fleet } from '../fleet/fleet.js';
import { recordFilePath } from '../fleet/fleet-plan.js';
import type {
  EngineArrival,
  EngineExecution,
  ServiceExecution,
  TortureHistory,
} from './history.js';

type BackendRecord =
  | ({ kind: 'engine-arrival' } & EngineArrival)
  | ({ kind: 'engine-execution' } & EngineExecution)
  | ({ kind: 'service-execution' } & ServiceExecution);

export class RecordReader {
  private readonly offsets = new Map<string, number>();

  constructor(private readonly fleet: Fleet) {}

  /** Adds all new records to a history; skips them if `history` is undefined. */
  readInto(history: TortureHistory | undefined): void {
    const backends = [...this.fleet.ofKind('engine'), ...this.fleet.ofKind('service')];
    for (const { name } of backends) {
      const records = this.readNew(recordFilePath(this.fleet.workFolder, name));
      for (const record of history ? records : []) addRecord(history!, record);
    }
  }

  private readNew(file: string): BackendRecord[] {
    if (!existsSync(file)) return [];
    const offset = this.offsets.get(file) ?? 0;
    const descriptor = openSync(file, 'r');
    const bytes = Buffer.alloc(fstatSync(descriptor).size - offset);
    readSync(descriptor, bytes, 0, bytes.length, offset);
    closeSync(descriptor);
    const end = bytes.lastIndexOf('\n') + 1;
    this.offsets.set(file, offset + end);
    const lines = bytes.subarray(0, end).toString('utf8').split('\n');
    return lines.filter(Boolean).map((line) => JSON.parse(line) as BackendRecord);
  }
}

function addRecord(history: TortureHistory, record: BackendRecord): void {
  switch (record.kind) {
    case 'engine-arrival':
      history.arrivals.push(record);
      return;
    case 'engine-execution':
      history.executions.push(record);
      return;
    case 'service-execution':
      history.serviceExecutions.push(record);
      return;
  }
}
