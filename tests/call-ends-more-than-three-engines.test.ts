/** A call of the first interface under which its engine ends was begun at a fourth engine. */
import { request } from 'undici';
import { expect, it, onTestFinished } from 'vitest';
import { SMALL_DEPLOYMENT, startSmallFleet } from './support/small-fleet.js';

const ENGINES = 6;
const MAX_ENDS = 3;
const MARKER = 'ends its engine';

it('a call ends at most three engines', async () => {
  const engines = { name: 'engine', count: ENGINES };
  const small = await startSmallFleet({ deployment: { ...SMALL_DEPLOYMENT, engines } });
  onTestFinished(() => small.down());
  const names = Array.from({ length: ENGINES }, (_, index) => `engine-${index + 1}`);
  const body = JSON.stringify({ mode: 'end', marker: MARKER });
  for (const name of names) {
    const { address } = small.fleet.process(name).plan;
    const response = await request(`http://${address}/v1/faults`, { method: 'POST', body });
    await response.body.dump();
  }
  const client = small.clientOf('health');
  const program = await client.openProgram({ model: 'model' });
  const messages = [{ role: 'user', content: MARKER }];
  await expect(program.call(messages, 100)).rejects.toMatchObject({
    problem: { code: 'outcome_unknown' },
  });
  const ended = names.filter((name) => !small.fleet.process(name).isRunning);
  expect(ended.length).toBeGreaterThan(1);
  expect(ended.length).toBeLessThanOrEqual(MAX_ENDS);
});
