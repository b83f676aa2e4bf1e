/** Programs of a ledger with several groups, and programs that continue turns of other programs. */
import { describe, expect, it } from 'vitest';
import { MemoryLedger } from '../../tests/support/memory-ledger.js';
import { waitUntil } from '../../tests/support/wait-until.js';
import { GroupClient, type PeerCaller } from '../consensus/index.js';
import { createLogger } from '../observability/index.js';
import type { Method } from '../wire/index.js';
import { LedgerClient } from './ledger-client.js';
import { LEDGER_GROUP, ledgerGroupName, ledgerGroupOf } from './ledger-groups.js';
import { LedgerRouter } from './ledger-router.js';
import type { LedgerGroupRequest } from './messages.js';
import type { TurnRequest } from './reservation-attempt.js';

const GROUPS = 3;
const LIMIT_MS = 1_000;
const MOST_TOKENS = 100;
const SPENT_TOKENS = 40;
const RETENTION_MS = 60_000;

/** A ledger whose groups each have a state of their own. */
class GroupedLedger implements PeerCaller {
  readonly groups = new Map(
    Array.from({ length: GROUPS }, (_, index) => [ledgerGroupName(index), new MemoryLedger()]),
  );

  isConnected(): boolean {
    return true;
  }

  call<Request, Response>(
    _address: string,
    method: Method<Request, Response>,
    request: Request,
  ): Promise<Response> {
    const { group = LEDGER_GROUP } = request as LedgerGroupRequest;
    return this.groups.get(group)!.call(group, method, request);
  }

  of(index: number): MemoryLedger {
    return this.groups.get(ledgerGroupName(index))!;
  }

  createGateway(name: string): LedgerRouter {
    const client = new GroupClient({ peers: this, addresses: ['leader'] });
    const logger = createLogger({ test: 'ledger-router' });
    const router = new LedgerRouter(
      (group) => new LedgerClient(client, logger, name, undefined, undefined, undefined, group),
    );
    router.setGroups([...this.groups.keys()]);
    return router;
  }
}

/** Tokens that a program has spent in a group; 0 without an account there. */
function spentIn(ledger: GroupedLedger, index: number, program: string): number {
  const accounts = ledger.of(index).state.budgets.encode();
  return accounts.find((account) => account.program === program)?.spentTokens ?? 0;
}

/** A program that belongs to a group. */
function programIn(index: number, name = 'program'): string {
  for (let number = 0; ; number += 1) {
    const program = `${name}-${number}`;
    if (ledgerGroupOf(program, GROUPS) === index) return program;
  }
}

function turn(program: string, attempt: string, previousTurn?: string): TurnRequest {
  const tokens = { budgetTokens: 10 * MOST_TOKENS, mostTokens: MOST_TOKENS };
  return { program, attempt, ...tokens, previousTurn, wantsHistory: true, keptInputBytes: 1 };
}

function keptTurn(attempt: string, previousTurn?: string) {
  const input = Buffer.from(`${attempt};`);
  return { previousTurn, input, output: Buffer.alloc(0), retentionMs: RETENTION_MS };
}

async function runTurn(gateway: LedgerRouter, request: TurnRequest): Promise<string | undefined> {
  const { program, attempt, previousTurn } = request;
  const { outcome, history } = await gateway.reserve(request, LIMIT_MS, false);
  if (outcome !== 'granted') return outcome;
  const keep = keptTurn(attempt, previousTurn);
  await gateway.settle({ program, attempt, spentTokens: SPENT_TOKENS, keep }, LIMIT_MS);
  return history && Buffer.from(history).toString();
}

describe('a ledger with several groups', () => {
  it('has all turns of a program in one group, whatever the gateway', async () => {
    const ledger = new GroupedLedger();
    const program = programIn(2);
    await runTurn(ledger.createGateway('first'), turn(program, 'a'));
    const history = await runTurn(ledger.createGateway('second'), turn(program, 'b', 'a'));
    expect(history).toBe('a;');
    expect([0, 1, 2].map((index) => ledger.of(index).state.turns.size)).toEqual([0, 0, 2]);
    expect(spentIn(ledger, 2, program)).toBe(2 * SPENT_TOKENS);
  });

  it('lets a program continue a turn of another program, and the turns after it', async () => {
    const ledger = new GroupedLedger();
    const [first, second] = [programIn(0), programIn(1)];
    await runTurn(ledger.createGateway('g'), turn(first, 'a'));
    const gateway = ledger.createGateway('h');
    expect(await runTurn(gateway, turn(second, 'b', 'a'))).toBe('a;');
    expect(await runTurn(gateway, turn(second, 'c', 'b'))).toBe('a;b;');
    expect(await runTurn(ledger.createGateway('i'), turn(second, 'd', 'c'))).toBe('a;b;c;');
    expect(ledger.of(0).state.turns.size).toBe(4);
    await waitUntil('all charged', () => spentIn(ledger, 1, second) === 3 * SPENT_TOKENS);
    expect(ledger.of(0).state.budgets.committedTokens(second)).toBe(0);
  });

  it('lets the first program continue a turn that the second one added to its chain', async () => {
    const ledger = new GroupedLedger();
    const [first, second] = [programIn(0), programIn(1)];
    const gateway = ledger.createGateway('g');
    await runTurn(gateway, turn(first, 'a'));
    await runTurn(gateway, turn(second, 'b', 'a'));
    expect(await runTurn(gateway, turn(first, 'c', 'b'))).toBe('a;b;');
    await waitUntil('charged', () => spentIn(ledger, 0, first) === 2 * SPENT_TOKENS);
    await waitUntil('both charged', () => spentIn(ledger, 1, second) === SPENT_TOKENS);
  });

  it('charges a program in its own group only, and refuses it there', async () => {
    const ledger = new GroupedLedger();
    const [first, second] = [programIn(0), programIn(1)];
    const gateway = ledger.createGateway('g');
    await runTurn(gateway, turn(first, 'a'));
    const budget = { budgetTokens: 2 * MOST_TOKENS };
    const attempts = ['b', 'c'].map((attempt) => ({ ...turn(second, attempt, 'a'), ...budget }));
    for (const request of attempts)
      expect((await gateway.reserve(request, LIMIT_MS, false)).outcome).toBe('granted');
    const third = { ...turn(second, 'd', 'a'), ...budget };
    expect((await gateway.reserve(third, LIMIT_MS, false)).outcome).toBe('budget-exhausted');
    const fourth = { ...turn(second, 'e'), ...budget };
    expect((await gateway.reserve(fourth, LIMIT_MS, false)).outcome).toBe('budget-exhausted');
  });

  it('does not know a turn that no group keeps', async () => {
    const gateway = new GroupedLedger().createGateway('g');
    expect(await runTurn(gateway, turn(programIn(1), 'b', 'never'))).toBe('unknown-predecessor');
  });

  it('is uncertain about a turn while a group does not answer', async () => {
    const ledger = new GroupedLedger();
    ledger.of(2).isUp = false;
    const gateway = ledger.createGateway('g');
    const request = turn(programIn(1), 'b', 'never');
    await expect(gateway.reserve(request, LIMIT_MS, false)).rejects.toThrow();
  });

  it('serves the programs of the other groups while a group does not answer', async () => {
    const ledger = new GroupedLedger();
    ledger.of(2).isUp = false;
    const gateway = ledger.createGateway('g');
    expect(await runTurn(gateway, turn(programIn(0), 'a'))).toBeUndefined();
    await expect(runTurn(gateway, turn(programIn(2), 'b'))).rejects.toThrow();
    expect(gateway.expectedOutageMsOf(programIn(0))).toBe(0);
  });

  it('is silent only if no leader answers', async () => {
    const ledger = new GroupedLedger();
    const gateway = ledger.createGateway('g');
    ledger.of(2).isUp = false;
    await expect(runTurn(gateway, turn(programIn(2), 'b'))).rejects.toThrow();
    await runTurn(gateway, turn(programIn(0), 'a'));
    expect(gateway.silenceMs).toBeLessThan(100);
  });
});
