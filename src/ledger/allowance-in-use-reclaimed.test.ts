/** A program spent beyond its budget: the ledger reclaimed an allowance that a running turn was drawing on. */
import { expect, it } from 'vitest';
import { MEMORY_LEDGER_ADDRESS, MemoryLedger } from '../../tests/support/memory-ledger.js';
import { GroupClient } from '../consensus/index.js';
import { createLogger } from '../observability/index.js';
import { LedgerClient } from './ledger-client.js';

const MOST_TOKENS = 100;
/** Four turns; an allowance takes a quarter. */
const BUDGET_TOKENS = 400;
const LIMIT_MS = 1_000;

class Program {
  readonly ledger = new MemoryLedger();
  /** Tokens that the granted turns may spend at most. */
  grantedTokens = 0;
  private turns = 0;
  private readonly client: LedgerClient;

  constructor() {
    const groups = new GroupClient({ peers: this.ledger, addresses: [MEMORY_LEDGER_ADDRESS] });
    this.client = new LedgerClient(groups, createLogger({}), 'gateway');
  }

  async reserve(mayUseAllowance: boolean): Promise<boolean> {
    this.turns += 1;
    const request = {
      program: 'p',
      attempt: `turn-${this.turns}`,
      budgetTokens: BUDGET_TOKENS,
      mostTokens: MOST_TOKENS,
      wantsHistory: false,
    };
    const { outcome } = await this.client.reserve(request, LIMIT_MS, mayUseAllowance);
    if (outcome === 'granted') this.grantedTokens += MOST_TOKENS;
    return outcome === 'granted';
  }
}

it('the allowance of a running turn is not reclaimed for another turn', async () => {
  const program = new Program();
  for (let turn = 1; turn <= 3; turn += 1) expect(await program.reserve(false)).toBe(true);
  program.ledger.isUp = false;
  expect(await program.reserve(true)).toBe(true);
  program.ledger.isUp = true;
  expect(await program.reserve(false)).toBe(false);
  expect(program.grantedTokens).toBeLessThanOrEqual(BUDGET_TOKENS);
});

it('an unused allowance is reclaimed for the last turn that the budget covers', async () => {
  const program = new Program();
  for (let turn = 1; turn <= 4; turn += 1) expect(await program.reserve(false)).toBe(true);
  expect(await program.reserve(false)).toBe(false);
  expect(program.grantedTokens).toBe(BUDGET_TOKENS);
});
