/**
 * A worker as PROTOCOL.md describes it, for tasks that run for a time: leases, fencing tokens, room,
 * and a list of ended runs. The `spec` of a task is its run time in milliseconds.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { text } from 'node:stream/consumers';
import type { CaseRecord } from './record';

/** Properties of a worker. */
export interface WorkerInit {
  readonly id: string;
  readonly zone: string;
  readonly service: string;
  readonly labels: readonly string[];
  readonly cpuMillis: number;
  readonly memoryMb: number;
  /** CPU of each task; a start does not tell it. */
  readonly taskCpuMillis?: number;
}

/** A run in progress. */
export interface WorkerRun {
  readonly task: string;
  readonly run: number;
  readonly startedAtMs: number;
  readonly runMs: number;
  timer: NodeJS.Timeout;
  isStopping: boolean;
}

interface OrderBody {
  readonly task?: string;
  readonly run?: number;
  readonly spec?: string;
  readonly deadlineMs?: number;
  readonly fenceToken?: number;
  readonly lastSeen?: number;
  readonly waitMs?: number;
}

const MAX_HOLD_MS = 1000;
const STOP_MS = 20;
const MAX_ENDS_LISTED = 500;
const MAX_WAIT_MS = 2000;
const LOOPBACK = '127.0.0.1';
const FIRST_CLOCK_MS = 1000;
const DEFAULT_TASK_CPU_MILLIS = 1000;

/** A worker process. */
export class Worker {
  readonly init: WorkerInit;

  readonly runs = new Map<string, WorkerRun>();

  readonly #record: CaseRecord;

  readonly #server: Server;

  readonly #startedAtMs = performance.now();

  readonly #born = Date.now();

  /** Highest number of a run that was started, stopped or ended here, by task. */
  readonly #highestRun = new Map<string, number>();

  readonly #ends: [number, string, number, string, string][] = [];

  readonly #waiting = new Set<() => void>();

  #sequence = 0;

  #fenceToken = 0;

  #leaseEndMs = 0;

  #leaseTimer: NodeJS.Timeout | null = null;

  address = '';

  constructor(init: WorkerInit, record: CaseRecord) {
    this.init = init;
    this.#record = record;
    this.#server = createServer((request, response) => {
      this.#serve(request, response).catch(() => response.destroy());
    });
  }

  async open(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.#server.listen(0, LOOPBACK, resolve);
    });
    this.address = `${LOOPBACK}:${(this.#server.address() as AddressInfo).port}`;
  }

  close(): void {
    if (this.#leaseTimer) clearTimeout(this.#leaseTimer);
    this.runs.forEach(({ timer }) => clearTimeout(timer));
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Its entry in the store. */
  entry(state = 'ready'): string {
    const { zone, service, labels, cpuMillis, memoryMb } = this.init;
    return JSON.stringify({
      backend: service,
      address: this.address,
      zone,
      version: 'v1',
      slots: 8,
      state,
      coldLeftMs: 0,
      capacity: { cpu: cpuMillis, memMb: memoryMb, gpu: 0 },
      labels,
      clockMs: this.#clockMs(),
      seq: 1,
      born: this.#born,
    });
  }

  #clockMs(): number {
    return Math.floor(performance.now() - this.#startedAtMs) + FIRST_CLOCK_MS;
  }

  async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = JSON.parse((await text(request)) || '{}') as OrderBody;
    if (request.headers['target-instance'] !== this.init.id) {
      this.#reply(response, 421, {});
      return;
    }
    const token = body.fenceToken ?? 0;
    if (token < this.#fenceToken) {
      this.#reply(response, 409, { reason: 'fence' });
      return;
    }
    if (token > this.#fenceToken) {
      this.#record.add(this.init.id, 'new fencing token', { token, before: this.#fenceToken });
    }
    this.#fenceToken = token;
    if (request.url === '/wasabiyoke/run-start') this.#start(body, response);
    else if (request.url === '/wasabiyoke/run-stop') this.#stop(body, response);
    else if (request.url === '/wasabiyoke/hold') this.#hold(body, response);
    else this.#reply(response, 404, {});
  }

  #extendLease(deadlineMs: number | undefined): void {
    if (deadlineMs === undefined) return;
    const endMs = Math.min(deadlineMs, this.#clockMs() + MAX_HOLD_MS);
    if (endMs <= this.#leaseEndMs) return;
    this.#leaseEndMs = endMs;
    if (this.#leaseTimer) clearTimeout(this.#leaseTimer);
    this.#leaseTimer = setTimeout(
      () => [...this.runs.keys()].forEach((key) => this.#end(key, 'lapsed')),
      Math.max(0, endMs - this.#clockMs()),
    );
  }

  #start({ task = '', run = 0, spec = '', deadlineMs }: OrderBody, response: ServerResponse): void {
    const key = `${task}#${run}`;
    const refusal = this.runs.has(key) ? null : this.#refusalOf(task, run, deadlineMs ?? 0);
    if (refusal !== 'late') this.#extendLease(deadlineMs);
    if (refusal !== null) {
      this.#record.add(this.init.id, 'start refused', { task, run, reason: refusal });
      this.#reply(response, 409, { reason: refusal });
      return;
    }
    if (!this.runs.has(key)) this.#begin(key, task, run, Number(spec) || 1);
    this.#reply(response, 200, {});
  }

  #begin(key: string, task: string, run: number, runMs: number): void {
    this.#record.add(this.init.id, 'run started', { task, run, token: this.#fenceToken });
    this.#highestRun.set(task, run);
    this.runs.set(key, {
      task,
      run,
      startedAtMs: performance.now(),
      runMs,
      timer: setTimeout(() => this.#end(key, 'done'), runMs),
      isStopping: false,
    });
  }

  #refusalOf(task: string, run: number, deadlineMs: number): string | null {
    if (run <= (this.#highestRun.get(task) ?? 0)) return 'old';
    if (deadlineMs <= this.#clockMs()) return 'late';
    const { cpuMillis, taskCpuMillis = DEFAULT_TASK_CPU_MILLIS } = this.init;
    return this.runs.size >= Math.floor(cpuMillis / taskCpuMillis) ? 'room' : null;
  }

  #stop({ task = '', run = 0 }: OrderBody, response: ServerResponse): void {
    const key = `${task}#${run}`;
    this.#highestRun.set(task, Math.max(run, this.#highestRun.get(task) ?? 0));
    const stopped = this.runs.get(key);
    if (stopped && !stopped.isStopping) {
      stopped.isStopping = true;
      clearTimeout(stopped.timer);
      stopped.timer = setTimeout(() => this.#end(key, 'stopped'), STOP_MS);
    }
    this.#reply(response, 200, {});
  }

  #end(key: string, how: string): void {
    const ended = this.runs.get(key);
    if (!ended) return;
    const { task, run, timer } = ended;
    clearTimeout(timer);
    this.runs.delete(key);
    this.#sequence += 1;
    this.#ends.push([this.#sequence, task, run, how, '']);
    this.#record.add(this.init.id, 'run ended', { task, run, how });
    const waiting = [...this.#waiting];
    this.#waiting.clear();
    waiting.forEach((wake) => wake());
  }

  #hold({ lastSeen = 0, deadlineMs, waitMs = 0 }: OrderBody, response: ServerResponse): void {
    this.#extendLease(deadlineMs);
    while (this.#ends[0] && this.#ends[0][0] <= lastSeen) this.#ends.shift();
    const untilMs = performance.now() + Math.min(waitMs, MAX_WAIT_MS);
    const answer = () => {
      if (response.writableEnded) return;
      const leftMs = untilMs - performance.now();
      if (this.#ends.length === 0 && leftMs > 0) {
        this.#waiting.add(answer);
        setTimeout(answer, leftMs);
        return;
      }
      this.#waiting.delete(answer);
      const nowMs = performance.now();
      const running = [...this.runs.values()].map(({ task, run, startedAtMs, runMs }) => {
        const percent = Math.floor((100 * (nowMs - startedAtMs)) / runMs);
        return [task, run, '', Math.min(99, percent), 0];
      });
      this.#reply(response, 200, { running, endedRuns: this.#ends.slice(0, MAX_ENDS_LISTED) });
    };
    answer();
  }

  #reply(response: ServerResponse, status: number, body: object): void {
    if (response.writableEnded) return;
    response.writeHead(status, { 'content-type': 'application/json' });
    response.end(JSON.stringify({ clockMs: this.#clockMs(), born: this.#born, ...body }));
  }
}
