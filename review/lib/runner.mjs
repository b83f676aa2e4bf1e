/** Stand-in of a runner, as PROTOCOL.md describes it: registers itself, answers plain requests and streams of events. */
import { createHash } from 'node:crypto';
import { createServer } from 'node:http';
import { exchange, sleep } from './fleet.mjs';

const HEARTBEAT_MS = 1200;
let runnersMade = 0;

/** What the model says to a prompt: the same for the same prompt, so that another run can go on in the middle. */
export function eventData(body, number) {
  return `w${number}-${createHash('sha256').update(`${number} ${body}`).digest('hex').slice(0, 12)}`;
}

function eventText(body, number) {
  return `id: ${number}\ndata: ${eventData(body, number)}\n\n`;
}

export class Runner {
  /** Requests that it has run: id, path, body, headers. */
  runs = [];
  callSeq = 0;

  constructor(fleet, options) {
    const { service, slots = 12, zone = 'zone-a', events = () => 10, gapMs = 30 } = options;
    this.statesLength = options.statesLength ?? false;
    runnersMade += 1;
    const id = `i-${String(runnersMade).padStart(2, '0')}${Date.now().toString(16)}`;
    Object.assign(this, { fleet, service, slots, zone, events, gapMs, id, active: 0 });
  }

  async start() {
    this.server = createServer((request, response) => {
      request.on('error', () => undefined);
      response.on('error', () => undefined);
      void this.serve(request, response).catch(() => response.destroy());
    });
    this.server.keepAliveTimeout = 15_000;
    await new Promise((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    this.address = `127.0.0.1:${this.server.address().port}`;
    await this.heartbeat();
    this.timer = setInterval(() => void this.heartbeat(), HEARTBEAT_MS);
  }

  stop() {
    clearInterval(this.timer);
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Calls one control process after the other until one acknowledges. */
  async heartbeat(state = 'ready') {
    this.callSeq += 1;
    const body = JSON.stringify({
      backend: this.service,
      address: this.address,
      zone: this.zone,
      generation: 'v1',
      slots: this.slots,
      state,
      coldLeftMs: 0,
      stage: 'hybrid',
      models: [{ name: 'm', generation: 1, adapters: [] }],
      callSeq: this.callSeq,
    });
    const path = `/v1/instances/${this.id}`;
    const headers = { 'Content-Type': 'application/json' };
    for (let index = 0; index < this.fleet.of('control').length; index += 1) {
      const address = this.fleet.control(index);
      const call = { address, method: 'PUT', path, headers, body, timeoutMs: 1000 };
      if ((await exchange(call)).status === 200) return true;
    }
    return false;
  }

  async serve(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const body = Buffer.concat(chunks).toString('latin1');
    const { headers, method, url } = request;
    if (url === '/healthz') {
      response.writeHead(200, { 'X-Instance-Id': this.id, 'Content-Length': '0' }).end();
      return;
    }
    if (url === '/v1/report') {
      this.report(response);
      return;
    }
    const id = headers['x-attempt-id'];
    const expected = headers['x-expect-instance'];
    if (id === undefined || (expected !== undefined && expected !== this.id)) {
      const status = id === undefined ? 400 : 421;
      const head = { 'X-Not-Executed': '1', 'X-Instance-Id': this.id, 'Content-Length': '0' };
      response.writeHead(status, id === undefined ? head : { ...head, 'X-Attempt-Id': id }).end();
      return;
    }
    const run = { id, method, url, body, headers };
    this.runs.push(run);
    this.active += 1;
    this.fleet.record(`run ${id} ${method} ${url} at ${this.id}, body ${shortened(body)}`);
    try {
      if (headers['x-token-usage'] !== undefined) await this.stream(run, response);
      else await this.answer(run, response);
    } finally {
      this.active -= 1;
    }
  }

  report(response) {
    const report = {
      stage: 'hybrid',
      models: [{ name: 'm', generation: 1, adapters: [] }],
      busy: false,
      callSeq: 0,
      queued: 0,
      running: this.active,
      kvUsed: 0,
      kvTotal: 490370,
      handles: 0,
    };
    const text = JSON.stringify(report);
    response.writeHead(200, { 'Content-Type': 'application/json' }).end(text);
  }

  headersOf({ id }) {
    return { 'X-Attempt-Id': id, 'X-Server-Stamp': `stamp.${this.id}.${id}` };
  }

  async answer(run, response) {
    await sleep(20);
    const text = `done ${run.id}`;
    const headers = { ...this.headersOf(run), 'Content-Length': String(text.length) };
    response.writeHead(200, headers).end(text);
  }

  async stream(run, response) {
    const headers = { ...this.headersOf(run), 'Content-Type': 'text/event-stream' };
    const first = Number(run.headers['last-event-id'] ?? 0) + 1;
    const total = this.events(run);
    if (this.statesLength) await this.sendWhole(run, response, headers, first, total);
    else await this.sendAsMade(run, response, headers, first, total);
    this.fleet.record(`run ${run.id} ends`);
  }

  /** Makes all events, then sends them as one answer with its length. */
  async sendWhole(run, response, headers, first, total) {
    let text = '';
    for (let number = first; number <= total; number += 1) {
      await sleep(this.gapMs);
      text += eventText(run.body, number);
    }
    response.writeHead(200, { ...headers, 'Content-Length': String(text.length) });
    response.end(text);
  }

  /** Stops its work when the connection closes. */
  async sendAsMade(run, response, headers, first, total) {
    response.writeHead(200, headers);
    response.flushHeaders();
    for (let number = first; number <= total && !response.destroyed; number += 1) {
      await sleep(this.gapMs);
      if (!response.destroyed) response.write(eventText(run.body, number));
    }
    response.end();
  }
}

export function shortened(text) {
  const line = JSON.stringify(text);
  return line.length <= 260 ? line : `${line.slice(0, 200)}...(${text.length} bytes)`;
}
