/** Plans, concurrent operators, repeated requests and deltas. */
import fc from 'fast-check';
import { beforeEach, describe, expect, it } from 'vitest';
import { encodeValue } from '../wire/index.js';
import type { ConfirmResult, IntentCommand, Plan, PlanResult } from './commands.js';
import {
  type IntentDocument,
  applyChanges,
  contentHash,
  diffDocuments,
  findInconsistencies,
  intentDocumentSchema,
} from './document.js';
import { IntentStateMachine } from './intent-state-machine.js';
import { partialDocumentSchema } from './partial-document.js';

let machine: IntentStateMachine;

beforeEach(() => {
  machine = new IntentStateMachine();
});

function documentWith(...models: string[]): IntentDocument {
  return intentDocumentSchema.parse({ models: models.map((id) => ({ id })) });
}

function apply<Result>(command: IntentCommand): Result {
  return machine.apply(encodeValue(machine.prepare(command))) as Result;
}

function plan(operator: string, document: IntentDocument): Plan {
  const result = apply<PlanResult>({ type: 'plan', operator, document });
  if (result.status !== 'planned') throw new Error(result.problems.join());
  return result.plan;
}

function confirm(operator: string, planId: string, requestId: string): ConfirmResult {
  return apply({ type: 'confirm', operator, planId, requestId });
}

describe('confirming', () => {
  it('accepts one of two plans for the same revision and reports it to the other operator', () => {
    const first = plan('ana', documentWith('a'));
    const second = plan('bruno', documentWith('b'));
    expect(first.baseRevision).toBe(second.baseRevision);
    expect(confirm('bruno', second.id, 'r1')).toMatchObject({ status: 'accepted' });
    expect(confirm('ana', first.id, 'r2')).toMatchObject({
      status: 'stale',
      current: { revision: 1, operator: 'bruno', contentHash: second.contentHash },
    });
    expect(machine.document.models.map((model) => model.id)).toEqual(['b']);
  });

  it('returns the first result to a repeated request, even after later revisions', () => {
    const first = plan('ana', documentWith('a'));
    const accepted = confirm('ana', first.id, 'r1');
    confirm('ana', plan('ana', documentWith('a', 'b')).id, 'r2');
    expect(confirm('ana', first.id, 'r1')).toEqual(accepted);
    expect(machine.revision).toBe(2);
  });

  it('rejects a request id that was used for another plan', () => {
    const first = plan('ana', documentWith('a'));
    const second = plan('ana', documentWith('b'));
    confirm('ana', first.id, 'r1');
    expect(confirm('ana', second.id, 'r1')).toMatchObject({ status: 'request-reused' });
  });

  it('does not confirm a stale plan under a new request id', () => {
    const stale = plan('ana', documentWith('a'));
    confirm('bruno', plan('bruno', documentWith('b')).id, 'r1');
    expect(confirm('ana', stale.id, 'r2')).toMatchObject({ status: 'stale' });
    expect(confirm('ana', 'nonsense', 'r3')).toEqual({ status: 'unknown-plan' });
  });

  it('preserves plans and request results in a snapshot', () => {
    const first = plan('ana', documentWith('a'));
    const accepted = confirm('ana', first.id, 'r1');
    const pending = plan('ana', documentWith('a', 'b'));
    const copy = new IntentStateMachine();
    copy.restore(Buffer.concat([...machine.snapshot()]));
    machine = copy;
    expect(confirm('ana', first.id, 'r1')).toEqual(accepted);
    expect(confirm('ana', pending.id, 'r2')).toMatchObject({ status: 'accepted' });
  });
});

describe('partial plans', () => {
  const partialPlan = (partial: unknown): PlanResult =>
    apply({
      type: 'partial-plan',
      operator: 'ana',
      partial: partialDocumentSchema.parse(partial),
    });

  it('have the same plan id as the resulting whole document', () => {
    confirm('ana', plan('ana', documentWith('a', 'b')).id, 'r1');
    const whole = plan('ana', documentWith('b', 'c'));
    const result = partialPlan({ set: { models: [{ id: 'c' }] }, remove: { models: ['a'] } });
    expect(result).toMatchObject({ status: 'planned', plan: { id: whole.id } });
    confirm('ana', whole.id, 'r2');
    expect(machine.document.models.map((model) => model.id)).toEqual(['b', 'c']);
  });

  it('include only differences', () => {
    confirm('ana', plan('ana', documentWith('a')).id, 'r1');
    const result = partialPlan({
      set: { models: [{ id: 'a' }, { id: 'b' }] },
      remove: { models: ['z'] },
    });
    expect(result).toMatchObject({ plan: { changes: [{ id: 'b', action: 'add' }] } });
  });

  it('are rejected when the result is inconsistent', () => {
    confirm('ana', plan('ana', documentWith('a')).id, 'r1');
    const tenant = { id: 't', keyHashes: ['0'.repeat(64)], models: ['a'] };
    const added = partialPlan({ set: { tenants: [tenant] } });
    if (added.status === 'planned') confirm('ana', added.plan.id, 'r2');
    expect(partialPlan({ remove: { models: ['a'] } })).toEqual({
      status: 'inconsistent',
      problems: ['tenants/t: unknown model a'],
    });
  });
});

describe('updates', () => {
  it('lead from any revision to the current one', () => {
    const documents = ['a', 'b', 'c', 'd'].map((_, index, all) =>
      documentWith(...all.slice(0, index + 1)),
    );
    const seen: IntentDocument[] = [machine.document];
    for (const [index, document] of documents.entries()) {
      confirm('ana', plan('ana', document).id, `r${index}`);
      seen.push(machine.document);
    }
    for (const [revision, known] of seen.entries()) {
      const update = machine.updateFrom(revision);
      if (update.kind === 'none') expect(revision).toBe(machine.revision);
      else if (update.kind === 'fetch') expect(revision).toBe(0);
      else expect(applyChanges(known, update.changes)).toEqual(machine.document);
    }
  });

  it('require a fetch when the process lags behind the retained revisions', () => {
    for (let index = 0; index < 1_100; index += 1) {
      confirm('ana', plan('ana', documentWith(`m${index}`)).id, `r${index}`);
    }
    expect(machine.updateFrom(3)).toMatchObject({ kind: 'fetch', revision: 1_100 });
    expect(machine.updateFrom(1_099)).toMatchObject({ kind: 'changes' });
  });
});

describe('documents', () => {
  const names = fc.subarray(['a', 'b', 'c', 'd', 'e']);

  it('equal the target after their differences are applied', () => {
    fc.assert(
      fc.property(names, names, (left, right) => {
        const [from, to] = [documentWith(...left), documentWith(...right)];
        const changed = applyChanges(from, diffDocuments(from, to));
        expect(contentHash(changed)).toBe(contentHash(to));
      }),
    );
  });

  it('report inconsistencies', () => {
    const document = intentDocumentSchema.parse({
      models: [{ id: 'm' }, { id: 'm' }],
      tenants: [{ id: 't', keyHashes: ['0'.repeat(64)], models: ['none'] }],
      backends: [{ id: 'e', kind: 'engine', zone: 'z', address: 'h:1' }],
    });
    expect(findInconsistencies(document)).toEqual([
      'models/m: listed twice',
      'tenants/t: unknown model none',
      'backends/e: serves nothing',
    ]);
  });
});
