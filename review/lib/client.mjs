/** Stand-in of a client of streams and of agent programs, as PROTOCOL.md describes it. */
import { randomBytes } from 'node:crypto';
import { request } from 'node:http';

export const HOST = 'office.example';
export const newId = () => randomBytes(8).toString('hex');

const EVENT = /^(?:id: (\d+)\n)?data: (.*)\n\n/;

/**
 * Sends one client attempt of a turn and reads its stream.
 * @param onEvent called for each event, with the events so far
 * @param onEnded called when the last byte of a whole answer has arrived
 */
export function sendTurn(fleet, turn) {
  const {
    gateway,
    path,
    body,
    headers = {},
    deadlineMs = 3000,
    onEvent,
    onEnded,
    id = newId(),
  } = turn;
  const [hostname, port] = fleet.front(gateway).split(':');
  const result = { id, status: undefined, events: [], isComplete: false, error: undefined };
  const all = {
    Host: HOST,
    'X-Attempt-Id': id,
    'X-Model': 'm',
    'X-Deadline-Ms': String(deadlineMs),
    'Content-Length': String(Buffer.byteLength(body)),
    ...headers,
  };
  const name = fleet.of('gateway')[gateway].name;
  const previous = headers['X-Previous-Turn'];
  const lastEvent = headers['Last-Event-Id'];
  fleet.record(
    `sent ${id} POST ${path} to ${name}` +
      (previous ? `, X-Previous-Turn ${previous}` : '') +
      (lastEvent ? `, Last-Event-Id ${lastEvent}` : ''),
  );
  return new Promise((resolve) => {
    const outgoing = request({
      hostname,
      port,
      path,
      method: 'POST',
      headers: all,
      agent: false,
    });
    const timer = setTimeout(() => outgoing.destroy(new Error('deadline')), deadlineMs);
    let isDone = false;
    const finish = (error) => {
      if (isDone) return;
      isDone = true;
      clearTimeout(timer);
      if (error) result.error = error.code ?? error.message;
      const end = result.isComplete ? 'whole' : `not whole (${result.error ?? 'cut'})`;
      fleet.record(
        `answered ${id}: ${result.status ?? 'no status'}, ${result.events.length} events, ${end}`,
      );
      resolve(result);
    };
    outgoing.on('error', finish);
    outgoing.on('response', (response) => {
      result.status = response.statusCode;
      result.retryAfter = response.headers['retry-after'];
      let pending = '';
      response.on('data', (chunk) => {
        if (response.statusCode !== 200) return;
        pending += chunk.toString('latin1');
        for (let match = EVENT.exec(pending); match; match = EVENT.exec(pending)) {
          pending = pending.slice(match[0].length);
          result.events.push({ id: match[1], data: match[2] });
          onEvent?.(result.events);
        }
      });
      response.on('error', finish);
      // The last byte of a whole answer has arrived.
      response.on('end', () => response.statusCode === 200 && onEnded?.());
      response.on('close', () => {
        result.isComplete = response.complete && result.status === 200 && pending === '';
        finish();
      });
    });
    outgoing.end(body);
  });
}

/** What a turn adds to the bodies of the turns after it: its input, then the data of its events with a line feed each. */
export function historyOf(input, events) {
  return input + events.map(({ data }) => `${data}\n`).join('');
}

/** Headers of a turn of an agent program. */
export function turnHeaders({
  program,
  session,
  remainingMs,
  budget,
  tokens,
  previousTurn,
  parts,
}) {
  return {
    'X-Program-Id': program,
    'X-Session-Id': session,
    'X-Program-Deadline-Ms': String(remainingMs),
    'X-Token-Usage': tokens.join(','),
    'X-Prompt-Prefix': parts,
    ...(budget === undefined ? {} : { 'X-Token-Budget': String(budget) }),
    ...(previousTurn === undefined ? {} : { 'X-Previous-Turn': previousTurn }),
  };
}
