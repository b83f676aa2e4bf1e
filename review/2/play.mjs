/**
 * A gateway is killed right after a client has a whole answer of a turn. The runners state the length of their answers.
 * The client goes on from the turn through the other gateway, which must know it.
 */
import { fileURLToPath } from 'node:url';
import { configurationOf } from '../lib/configuration.mjs';
import { newId, sendTurn, turnHeaders } from '../lib/client.mjs';
import { runCase, sleep, until } from '../lib/fleet.mjs';
import { Runner } from '../lib/runner.mjs';

const ROUNDS = 6;
const EVENTS = 6;
const ATTEMPTS = 3;

function headersOf({ id, session, part }, previousTurn) {
  const shared = `5c1e07a2:800,${part}:410`;
  return turnHeaders({
    program: id,
    session,
    remainingMs: 20_000,
    tokens: [1680, EVENTS * 25],
    parts: previousTurn ? `${shared},${newId().slice(0, 8)}:250` : shared,
    previousTurn,
  });
}

const newProgram = () => ({ id: newId(), session: newId(), part: newId().slice(0, 8) });

await runCase(
  fileURLToPath(new URL('record.txt', import.meta.url)),
  async (fleet, hasTrouble, onEnd) => {
    await fleet.add('control', 3);
    await fleet.add('journal', 3);
    await fleet.add('gateway', 2);
    await fleet.startAll();
    await fleet.configure(configurationOf(1));
    const options = { service: 'models', events: () => EVENTS, gapMs: 30, statesLength: true };
    const runners = [1, 2].map(() => new Runner(fleet, options));
    for (const runner of runners) {
      await runner.start();
      onEnd(() => runner.stop());
    }
    await fleet.waitReady();
    const takeTurn = (program, gateway, body, previousTurn, onEnded) =>
      sendTurn(fleet, {
        gateway,
        path: '/kept/talk',
        body,
        headers: headersOf(program, previousTurn),
        onEnded,
      });
    const warm = async () => {
      const answers = await Promise.all([0, 1].map((it) => takeTurn(newProgram(), it, 'hello')));
      return answers.every(({ isComplete }) => isComplete);
    };
    await until('first turns served', warm);

    const broken = [];
    for (let round = 0; round < ROUNDS; round += 1) {
      const gateway = round % 2;
      const machine = fleet.of('gateway')[gateway];
      let program;
      let first;
      const strike = () => hasTrouble && fleet.signal(machine, 'SIGKILL');
      // A program whose first turn fails, as on a busy machine, is no concern of this case.
      await until('a first turn answered', async () => {
        program = newProgram();
        first = await takeTurn(program, gateway, 'first question;', undefined, strike);
        return first.isComplete;
      });
      await sleep(300);
      for (let attempt = 0; attempt < ATTEMPTS; attempt += 1) {
        const next = await takeTurn(program, 1 - gateway, 'second question;', first.id);
        if (next.isComplete) break;
        if (next.status === 404 || next.status === 410) {
          broken.push(`LOST: turn ${first.id} was answered whole, then ${next.status}`);
          break;
        }
        await sleep(300);
      }
      if (!hasTrouble) continue;
      await fleet.ended(machine);
      fleet.start(machine);
      await sleep(500);
      await fleet.waitReady();
    }
    return broken;
  },
);
