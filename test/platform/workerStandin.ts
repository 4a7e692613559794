/**
 * Stand-in for one of the platform's workers: starts, stops and holds over HTTP, with fencing, leases
 * and a list of ends. A task runs for as long as its payload says, in milliseconds.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { text } from 'node:stream/consumers';

interface Run {
  readonly task: string;
  readonly run: number;
  readonly startedAtMs: number;
  readonly runMs: number;
  /** Ends the run at `endsAtMs`. */
  timer: NodeJS.Timeout;
  endsAtMs: number;
  end: string;
}

const MAX_LEASE_MS = 1000;
const STOP_MS = 10;
/** Of a task whose payload is no time. */
const SHORT_RUN_MS = 5;

/** What a test sees of a worker's runs. */
export interface RunObserver {
  started(worker: WorkerStandin, task: string, run: number, payload: string): void;
  ended(worker: WorkerStandin, task: string, run: number, how: string): void;
}

/** How a worker differs from an ordinary one. */
export interface WorkerStandinOptions {
  readonly observer?: RunObserver;
  /** Speed of its clock. */
  readonly clockRate?: number;
  /** Runs for which it has room; more are refused. */
  readonly maxRuns?: number;
  /** Where hosts reach it, if not at its own address. */
  readonly announcedAddress?: string;
  /** Time that a stop takes. */
  readonly stopMs?: number;
  /** Run times here over those that payloads name. */
  readonly slowness?: number;
}

const ORDER_PATHS: ReadonlySet<string> = new Set(['/wasabiyoke/run-start', '/wasabiyoke/run-stop']);

async function readJson(request: IncomingMessage): Promise<Record<string, unknown>> {
  return JSON.parse((await text(request)) || '{}') as Record<string, unknown>;
}

/** One worker. */
export class WorkerStandin {
  readonly id: string;

  readonly domain: string;

  /** Every start that was carried out: task and run. */
  readonly starts: string[] = [];

  /** Tasks that ran twice at a time here. */
  readonly runs = new Map<string, Run>();

  readonly #ended: [number, string, number, string, string][] = [];

  readonly #waiting = new Set<() => void>();

  readonly #server: Server;

  #bornMs = Date.now();

  readonly #traits: WorkerStandinOptions;

  readonly #highestRuns = new Map<string, number>();

  #leaseEndClockMs = 0;

  #fencingToken = 0;

  #sequence = 0;

  #leaseTimer: NodeJS.Timeout | null = null;

  /** Time by which the next order is carried out late and without an answer; 0 if it is not. */
  #orderDelayMs: (() => number) | null = null;

  address = '';

  constructor(id: string, domain: string, traits: WorkerStandinOptions = {}) {
    this.id = id;
    this.domain = domain;
    this.#traits = traits;
    this.#server = createServer((request, response) => {
      this.#serve(request, response).catch(() => response.destroy());
    });
  }

  async open(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.#server.listen(0, '127.0.0.1', resolve);
    });
    this.address = `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  close(): void {
    if (this.#leaseTimer) clearTimeout(this.#leaseTimer);
    this.runs.forEach(({ timer }) => clearTimeout(timer));
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Leaves orders unanswered and carries them out late, by `delayMs` each; null ends it. */
  delayOrders(delayMs: (() => number) | null): void {
    this.#orderDelayMs = delayMs;
  }

  /** Ends what should have ended by now: in a busy process timers fire late. */
  endDue(): void {
    const nowMs = Date.now();
    const leaseEndsAtMs = nowMs + this.#leaseLeftMs();
    [...this.runs].forEach(([key, { endsAtMs, end }]) => {
      if (Math.min(endsAtMs, leaseEndsAtMs) > nowMs) return;
      this.#finish(key, leaseEndsAtMs < endsAtMs ? 'lapsed' : end);
    });
  }

  /** Starts anew: nothing runs, and nothing of before is known. */
  crash(): void {
    if (this.#leaseTimer) clearTimeout(this.#leaseTimer);
    this.runs.forEach(({ task, run, timer }) => {
      clearTimeout(timer);
      this.#traits.observer?.ended(this, task, run, 'crashed');
    });
    this.runs.clear();
    this.#highestRuns.clear();
    this.#ended.length = 0;
    this.#fencingToken = 0;
    this.#sequence = 0;
    this.#leaseEndClockMs = 0;
    this.#bornMs = Date.now();
    this.#server.closeAllConnections();
  }

  /** What it says of itself in the store. */
  entry(): string {
    return JSON.stringify({
      backend: 'service-a',
      address: this.#traits.announcedAddress ?? this.address,
      zone: this.domain,
      version: 'v1',
      slots: 8,
      state: 'ready',
      coldLeftMs: 0,
      capacity: { cpu: 64_000, memMb: 32_768, gpu: 0 },
      labels: ['a', 'r1-1'],
      clockMs: this.#clockMs(),
      seq: 1,
      born: this.#bornMs,
    });
  }

  #clockMs(): number {
    return Math.round((Date.now() - this.#bornMs) * (this.#traits.clockRate ?? 1)) + 1000;
  }

  async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readJson(request);
    const delayMs = ORDER_PATHS.has(request.url ?? '') ? (this.#orderDelayMs?.() ?? 0) : 0;
    if (delayMs === 0) {
      this.#obey(request, body, response);
      return;
    }
    const bornMs = this.#bornMs;
    setTimeout(() => {
      // Another process would not know of the order.
      if (this.#bornMs === bornMs) this.#obey(request, body, response);
    }, delayMs).unref();
  }

  #obey(request: IncomingMessage, body: Record<string, unknown>, response: ServerResponse): void {
    if (request.headers['target-instance'] !== this.id) {
      this.#send(response, 421, {});
      return;
    }
    const token = Number(body.fenceToken ?? 0);
    if (token < this.#fencingToken) {
      this.#send(response, 409, { reason: 'fence' });
      return;
    }
    this.#fencingToken = token;
    if (typeof body.deadlineMs === 'number') this.#lease(body.deadlineMs);
    if (request.url === '/wasabiyoke/run-start') this.#start(body, response);
    else if (request.url === '/wasabiyoke/run-stop') this.#stop(body, response);
    else this.#hold(body, response);
  }

  /** A lease never gets shorter. */
  #lease(deadlineMs: number): void {
    const endMs = Math.min(this.#clockMs() + MAX_LEASE_MS, deadlineMs);
    if (endMs <= this.#leaseEndClockMs) return;
    this.#leaseEndClockMs = endMs;
    if (this.#leaseTimer) clearTimeout(this.#leaseTimer);
    this.#leaseTimer = setTimeout(() => {
      [...this.runs.keys()].forEach((key) => this.#finish(key, 'lapsed'));
    }, this.#leaseLeftMs());
  }

  #leaseLeftMs(): number {
    return (this.#leaseEndClockMs - this.#clockMs()) / (this.#traits.clockRate ?? 1);
  }

  #start(body: Record<string, unknown>, response: ServerResponse): void {
    const { task, run, spec } = body as { task: string; run: number; spec: string };
    const key = `${task}#${run}`;
    if (!this.runs.has(key)) {
      const refusal = this.#refusalOf(task, run);
      if (refusal) {
        this.#send(response, 409, { reason: refusal });
        return;
      }
      this.starts.push(key);
      this.#highestRuns.set(task, run);
      this.#traits.observer?.started(this, task, run, spec);
      const runMs = (Number(spec) || SHORT_RUN_MS) * (this.#traits.slowness ?? 1);
      const end = spec === 'fail' ? 'failed' : 'done';
      const timer = setTimeout(() => this.#finish(key, end), runMs);
      const startedAtMs = Date.now();
      const endsAtMs = startedAtMs + runMs;
      this.runs.set(key, { task, run, startedAtMs, runMs, timer, endsAtMs, end });
    }
    this.#send(response, 200, {});
  }

  #refusalOf(task: string, run: number): string | null {
    if (run <= (this.#highestRuns.get(task) ?? 0)) return 'old';
    if (this.#clockMs() >= this.#leaseEndClockMs) return 'late';
    return this.runs.size >= (this.#traits.maxRuns ?? Infinity) ? 'room' : null;
  }

  #stop(body: Record<string, unknown>, response: ServerResponse): void {
    const { task, run } = body as { task: string; run: number };
    this.#highestRuns.set(task, Math.max(run, this.#highestRuns.get(task) ?? 0));
    this.#stopLater(`${task}#${run}`);
    this.#send(response, 200, {});
  }

  #stopLater(key: string): void {
    const run = this.runs.get(key);
    const stopMs = this.#traits.stopMs ?? STOP_MS;
    const endsAtMs = Date.now() + stopMs;
    if (!run || endsAtMs >= run.endsAtMs) return;
    clearTimeout(run.timer);
    run.endsAtMs = endsAtMs;
    run.end = 'stopped';
    run.timer = setTimeout(() => this.#finish(key, 'stopped'), stopMs);
  }

  #finish(key: string, how: string): void {
    const run = this.runs.get(key);
    if (!run) return;
    clearTimeout(run.timer);
    this.runs.delete(key);
    this.#traits.observer?.ended(this, run.task, run.run, how);
    this.#sequence += 1;
    this.#ended.push([this.#sequence, run.task, run.run, how, '']);
    const waiting = [...this.#waiting];
    this.#waiting.clear();
    waiting.forEach((wake) => wake());
  }

  #hold(body: Record<string, unknown>, response: ServerResponse): void {
    const seen = Number(body.lastSeen);
    while (this.#ended[0] && this.#ended[0][0] <= seen) this.#ended.shift();
    const untilMs = Date.now() + Number(body.waitMs ?? 0);
    const answer = () => {
      if (this.#ended.length === 0 && Date.now() < untilMs) {
        this.#waiting.add(answer);
        setTimeout(answer, untilMs - Date.now()).unref();
        return;
      }
      if (response.writableEnded) return;
      const running = [...this.runs.values()].map(({ task, run, startedAtMs, runMs }) => {
        const percent = Math.floor((100 * (Date.now() - startedAtMs)) / runMs);
        return [task, run, '', Math.min(99, percent)];
      });
      this.#send(response, 200, { running, endedRuns: this.#ended });
    };
    answer();
  }

  #send(response: ServerResponse, status: number, body: object): void {
    response.writeHead(status, { 'content-type': 'application/json' });
    response.end(JSON.stringify({ clockMs: this.#clockMs(), born: this.#bornMs, ...body }));
  }
}
