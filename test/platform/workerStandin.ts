/**
 * Simulates a worker of the platform over HTTP: starts, stops and lease renewals, with fencing
 * tokens and a list of ended runs. The payload of a task is its run time in milliseconds, `fail`, or
 * `crash`, which takes the worker down for some time.
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
  /** How the run ends at `endsAtMs`. */
  end: string;
}

const MAX_LEASE_MS = 1000;
const DEFAULT_STOP_MS = 10;
/** Run time of a task whose payload is not a number. */
const DEFAULT_RUN_MS = 5;

/** Time from the start of a task that crashes its worker to the crash. */
const CRASH_AFTER_MS = 5;
/** Time for which a worker is down after that. */
const DOWN_MS = 1300;

/** Observes the runs of a worker. */
export interface RunObserver {
  started(worker: WorkerStandin, task: string, run: number, payload: string): void;
  ended(worker: WorkerStandin, task: string, run: number, how: string): void;
}

/** Options of a worker; the defaults are those of an ordinary one. */
export interface WorkerStandinOptions {
  readonly observer?: RunObserver;
  /** Writes its entry to the store. Called at the start of each of its processes. */
  readonly register?: (worker: WorkerStandin) => void;
  /** Rate of its clock relative to real time. */
  readonly clockRate?: number;
  /** Maximum number of runs at a time; further starts are refused with `room`. */
  readonly maxRuns?: number;
  /** Address in its store entry, if it differs from the one that it listens on. */
  readonly announcedAddress?: string;
  /** Time from a stop until the run has ended. */
  readonly stopMs?: number;
  /** Factor by which runs take longer than their payloads state. */
  readonly slowness?: number;
}

const START_STOP_PATHS: ReadonlySet<string> = new Set([
  '/wasabiyoke/run-start',
  '/wasabiyoke/run-stop',
]);

async function readJson(request: IncomingMessage): Promise<Record<string, unknown>> {
  return JSON.parse((await text(request)) || '{}') as Record<string, unknown>;
}

/** A simulated worker. */
export class WorkerStandin {
  readonly id: string;

  readonly domain: string;

  /** Every start that was carried out, as `task#run`. */
  readonly starts: string[] = [];

  /** Number of renewals received. */
  renewals = 0;

  /** Runs in progress, by `task#run`. */
  readonly runs = new Map<string, Run>();

  /** Ended runs not yet acknowledged: sequence number, task, run, end state, checkpoint. */
  readonly #endedRuns: [number, string, number, string, string][] = [];

  readonly #waitingRenewals = new Set<() => void>();

  readonly #server: Server;

  #processStartedAtMs = Date.now();

  readonly #options: WorkerStandinOptions;

  readonly #highestRunNumbers = new Map<string, number>();

  #leaseEndClockMs = 0;

  #fencingToken = 0;

  #sequence = 0;

  #leaseTimer: NodeJS.Timeout | null = null;

  /** Returns the delay of the next start or stop and of its reply; 0 means none. */
  #nextDelayMs: (() => number) | null = null;

  address = '';

  #downTimer: NodeJS.Timeout | null = null;

  constructor(id: string, domain: string, options: WorkerStandinOptions = {}) {
    this.id = id;
    this.domain = domain;
    this.#options = options;
    this.#server = createServer((request, response) => {
      this.#handleRequest(request, response).catch(() => response.destroy());
    });
  }

  async open(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.#server.listen(0, '127.0.0.1', resolve);
    });
    this.address = `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
    this.#options.register?.(this);
  }

  close(): void {
    if (this.#leaseTimer) clearTimeout(this.#leaseTimer);
    if (this.#downTimer) clearTimeout(this.#downTimer);
    this.runs.forEach(({ timer }) => clearTimeout(timer));
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Delays each start or stop and its reply by `delayMs()`; null ends the delays. */
  delayOrders(delayMs: (() => number) | null): void {
    this.#nextDelayMs = delayMs;
  }

  /** Ends all runs that are due but whose timers are late, as happens in a busy process. */
  endDue(): void {
    const nowMs = Date.now();
    const leaseEndsAtMs = nowMs + this.#leaseLeftMs();
    [...this.runs].forEach(([key, { endsAtMs, end }]) => {
      if (Math.min(endsAtMs, leaseEndsAtMs) > nowMs) return;
      this.#endRun(key, leaseEndsAtMs < endsAtMs ? 'lapsed' : end);
    });
  }

  /** Simulates a crash and restart: all runs end and all state is lost. */
  crash(): void {
    this.#endProcess();
    this.#startProcess();
  }

  #startProcess(): void {
    this.#processStartedAtMs = Date.now();
    this.#options.register?.(this);
  }

  #endProcess(): void {
    if (this.#leaseTimer) clearTimeout(this.#leaseTimer);
    this.runs.forEach(({ task, run, timer }) => {
      clearTimeout(timer);
      this.#options.observer?.ended(this, task, run, 'crashed');
    });
    this.runs.clear();
    this.#highestRunNumbers.clear();
    this.#endedRuns.length = 0;
    this.#fencingToken = 0;
    this.#sequence = 0;
    this.#leaseEndClockMs = 0;
    this.#server.closeAllConnections();
  }

  /** Crashes, and refuses connections until the next process starts. */
  #goDown(): void {
    this.#endProcess();
    this.#server.close();
    this.#downTimer = setTimeout(() => {
      this.#startProcess();
      this.#server.listen(Number(this.address.split(':')[1]), '127.0.0.1');
    }, DOWN_MS);
  }

  /** Returns the text of its entry in the store. */
  entry(): string {
    return JSON.stringify({
      backend: 'service-a',
      address: this.#options.announcedAddress ?? this.address,
      zone: this.domain,
      version: 'v1',
      slots: 8,
      state: 'ready',
      coldLeftMs: 0,
      capacity: { cpu: 64_000, memMb: 32_768, gpu: 0 },
      labels: ['a', 'r1-1'],
      clockMs: this.#clockMs(),
      seq: 1,
      born: this.#processStartedAtMs,
    });
  }

  #clockMs(): number {
    return (
      Math.round((Date.now() - this.#processStartedAtMs) * (this.#options.clockRate ?? 1)) + 1000
    );
  }

  async #handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readJson(request);
    const delayMs = START_STOP_PATHS.has(request.url ?? '') ? (this.#nextDelayMs?.() ?? 0) : 0;
    if (delayMs === 0) {
      this.#handleCall(request, body, response);
      return;
    }
    const processStartMs = this.#processStartedAtMs;
    setTimeout(() => {
      // A restarted worker does not know of the call.
      if (this.#processStartedAtMs === processStartMs) this.#handleCall(request, body, response);
    }, delayMs).unref();
  }

  #handleCall(
    request: IncomingMessage,
    body: Record<string, unknown>,
    response: ServerResponse,
  ): void {
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
    if (typeof body.deadlineMs === 'number') this.#extendLease(body.deadlineMs);
    if (request.url === '/wasabiyoke/run-start') this.#start(body, response);
    else if (request.url === '/wasabiyoke/run-stop') this.#stop(body, response);
    else this.#renew(body, response);
  }

  /** Extends the lease of all runs; a lease is never shortened. */
  #extendLease(deadlineMs: number): void {
    const endMs = Math.min(this.#clockMs() + MAX_LEASE_MS, deadlineMs);
    if (endMs <= this.#leaseEndClockMs) return;
    this.#leaseEndClockMs = endMs;
    if (this.#leaseTimer) clearTimeout(this.#leaseTimer);
    this.#leaseTimer = setTimeout(() => {
      [...this.runs.keys()].forEach((key) => this.#endRun(key, 'lapsed'));
    }, this.#leaseLeftMs());
  }

  #leaseLeftMs(): number {
    return (this.#leaseEndClockMs - this.#clockMs()) / (this.#options.clockRate ?? 1);
  }

  #start(body: Record<string, unknown>, response: ServerResponse): void {
    const { task, run, spec } = body as { task: string; run: number; spec: string };
    const key = `${task}#${run}`;
    if (!this.runs.has(key)) {
      const refusal = this.#refusalReason(task, run);
      if (refusal) {
        this.#send(response, 409, { reason: refusal });
        return;
      }
      this.starts.push(key);
      this.#highestRunNumbers.set(task, run);
      this.#options.observer?.started(this, task, run, spec);
      const runMs = (Number(spec) || DEFAULT_RUN_MS) * (this.#options.slowness ?? 1);
      const end = spec === 'fail' ? 'failed' : 'done';
      const timer =
        spec === 'crash'
          ? setTimeout(() => this.#goDown(), CRASH_AFTER_MS)
          : setTimeout(() => this.#endRun(key, end), runMs);
      const startedAtMs = Date.now();
      const endsAtMs = startedAtMs + runMs;
      this.runs.set(key, { task, run, startedAtMs, runMs, timer, endsAtMs, end });
    }
    this.#send(response, 200, {});
  }

  #refusalReason(task: string, run: number): string | null {
    if (run <= (this.#highestRunNumbers.get(task) ?? 0)) return 'old';
    if (this.#clockMs() >= this.#leaseEndClockMs) return 'late';
    return this.runs.size >= (this.#options.maxRuns ?? Infinity) ? 'room' : null;
  }

  #stop(body: Record<string, unknown>, response: ServerResponse): void {
    const { task, run } = body as { task: string; run: number };
    this.#highestRunNumbers.set(task, Math.max(run, this.#highestRunNumbers.get(task) ?? 0));
    this.#scheduleStop(`${task}#${run}`);
    this.#send(response, 200, {});
  }

  #scheduleStop(key: string): void {
    const run = this.runs.get(key);
    const stopMs = this.#options.stopMs ?? DEFAULT_STOP_MS;
    const endsAtMs = Date.now() + stopMs;
    if (!run || endsAtMs >= run.endsAtMs) return;
    clearTimeout(run.timer);
    run.endsAtMs = endsAtMs;
    run.end = 'stopped';
    run.timer = setTimeout(() => this.#endRun(key, 'stopped'), stopMs);
  }

  #endRun(key: string, how: string): void {
    const run = this.runs.get(key);
    if (!run) return;
    clearTimeout(run.timer);
    this.runs.delete(key);
    this.#options.observer?.ended(this, run.task, run.run, how);
    this.#sequence += 1;
    this.#endedRuns.push([this.#sequence, run.task, run.run, how, '']);
    const waiting = [...this.#waitingRenewals];
    this.#waitingRenewals.clear();
    waiting.forEach((wake) => wake());
  }

  #renew(body: Record<string, unknown>, response: ServerResponse): void {
    this.renewals += 1;
    const acknowledged = Number(body.lastSeen);
    while (this.#endedRuns[0] && this.#endedRuns[0][0] <= acknowledged) this.#endedRuns.shift();
    const untilMs = Date.now() + Number(body.waitMs ?? 0);
    const answer = () => {
      if (this.#endedRuns.length === 0 && Date.now() < untilMs) {
        this.#waitingRenewals.add(answer);
        setTimeout(answer, untilMs - Date.now()).unref();
        return;
      }
      if (response.writableEnded) return;
      const running = [...this.runs.values()].map(({ task, run, startedAtMs, runMs }) => {
        const percent = Math.floor((100 * (Date.now() - startedAtMs)) / runMs);
        return [task, run, '', Math.min(99, percent)];
      });
      this.#send(response, 200, { running, endedRuns: this.#endedRuns });
    };
    answer();
  }

  #send(response: ServerResponse, status: number, body: object): void {
    response.writeHead(status, { 'content-type': 'application/json' });
    response.end(
      JSON.stringify({ clockMs: this.#clockMs(), born: this.#processStartedAtMs, ...body }),
    );
  }
}
