/**
 * A worker of the platform, after PROTOCOL.md ("Running tasks", "Service discovery"): fencing
 * tokens, one lease for all that runs, run numbers, a list of ended runs, and room that it guards.
 * It can crash and start again under its id, as a worker of another kind.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { text } from 'node:stream/consumers';
import type { KvStandin } from '../../test/platform/kvStandin';
import type { Ledger, RunEntry, StepBody } from './ledger';
import type { CaseRecord } from './record';

/** What a worker reports about itself. */
export interface WorkerTraits {
  readonly backend: string;
  readonly zone: string;
  readonly capacity: { readonly cpu: number; readonly memMb: number; readonly gpu: number };
  /** Its kind and its rack. */
  readonly labels: readonly string[];
}

interface ActiveRun {
  readonly entry: RunEntry;
  readonly step: StepBody;
  readonly workMs: number;
  timer: NodeJS.Timeout;
  stopping: boolean;
}

/** How a worker answers one call. */
interface Reply {
  readonly status: number;
  readonly body: object;
}

const MAX_HOLD_MS = 1000;
const STOP_MS = 20;
const HEARTBEAT_MS = 1500;
const CLOCK_ORIGIN_MS = 1000;

const CallPath = {
  start: '/wasabiyoke/run-start',
  stop: '/wasabiyoke/run-stop',
  hold: '/wasabiyoke/hold',
} as const;

const HttpStatus = { ok: 200, badRequest: 400, conflict: 409, misdirected: 421 } as const;

function refusal(reason: string): Reply {
  return { status: HttpStatus.conflict, body: { reason } };
}

/** One worker. */
export class ReviewWorker {
  readonly id: string;

  traits: WorkerTraits;

  state: 'ready' | 'draining' = 'ready';

  address = '';

  readonly #store: KvStandin;

  readonly #ledger: Ledger;

  readonly #record: CaseRecord;

  #server: Server | null = null;

  #port = 0;

  #bornMs = 0;

  #bornAtMs = 0;

  #seq = 0;

  #fenceToken = 0;

  #leaseEndMs = 0;

  #leaseTimer: NodeJS.Timeout | null = null;

  #heartbeat: NodeJS.Timeout | null = null;

  readonly #runs = new Map<string, ActiveRun>();

  readonly #highestRuns = new Map<string, number>();

  #ended: [number, string, number, string, string][] = [];

  #lastEnd = 0;

  readonly #waitingHolds = new Set<() => void>();

  constructor(
    id: string,
    traits: WorkerTraits,
    store: KvStandin,
    ledger: Ledger,
    record: CaseRecord,
  ) {
    this.id = id;
    this.traits = traits;
    this.#store = store;
    this.#ledger = ledger;
    this.#record = record;
  }

  /** Starts its process: it registers itself and then listens, at the address that it had. */
  async boot(traits: WorkerTraits = this.traits): Promise<void> {
    this.traits = traits;
    this.#bornMs = Date.now();
    this.#bornAtMs = performance.now();
    const server = createServer((request, response) => {
      this.#handle(request, response).catch(() => response.destroy());
    });
    this.#server = server;
    if (this.#port !== 0) this.register();
    await new Promise<void>((resolve) => {
      server.listen(this.#port, '127.0.0.1', resolve);
    });
    this.#port = (server.address() as AddressInfo).port;
    this.address = `127.0.0.1:${this.#port}`;
    this.register();
    this.#heartbeat = setInterval(() => this.register(), HEARTBEAT_MS);
    this.#record.write('worker-boots', { worker: this.id, labels: traits.labels });
  }

  /** Its process dies: all that runs ends, and nothing of it is kept. */
  crash(): void {
    if (this.#leaseTimer) clearTimeout(this.#leaseTimer);
    if (this.#heartbeat) clearInterval(this.#heartbeat);
    this.#runs.forEach(({ entry, timer }) => {
      clearTimeout(timer);
      this.#ledger.ended(entry, 'crashed');
    });
    this.#runs.clear();
    this.#highestRuns.clear();
    this.#waitingHolds.clear();
    this.#ended = [];
    this.#lastEnd = 0;
    this.#seq = 0;
    this.#fenceToken = 0;
    this.#leaseEndMs = 0;
    this.#server?.close();
    this.#server?.closeAllConnections();
    this.#server = null;
    this.#record.write('worker-crashes', { worker: this.id });
  }

  /** Writes its entry in the platform's store. */
  register(): void {
    this.#seq += 1;
    const { backend, zone, capacity, labels } = this.traits;
    this.#store.put(
      `servers/${this.id}`,
      JSON.stringify({
        backend,
        address: this.address,
        zone,
        version: 'v1',
        slots: 8,
        state: this.state,
        coldLeftMs: 0,
        seq: this.#seq,
        capacity,
        labels,
        born: this.#bornMs,
      }),
    );
  }

  #clockMs(): number {
    return Math.round(performance.now() - this.#bornAtMs) + CLOCK_ORIGIN_MS;
  }

  async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = JSON.parse((await text(request)) || '{}') as Record<string, unknown>;
    if (request.headers['target-instance'] !== this.id) {
      this.#send(response, { status: HttpStatus.misdirected, body: {} });
      return;
    }
    const token = Number(body.fenceToken ?? 0);
    if (token < this.#fenceToken) {
      this.#send(response, refusal('fence'));
      return;
    }
    this.#fenceToken = token;
    if (typeof body.deadlineMs === 'number') this.#extendLease(body.deadlineMs);
    if (request.url === CallPath.start) this.#send(response, this.#start(body));
    else if (request.url === CallPath.stop) this.#send(response, this.#stop(body));
    else if (request.url === CallPath.hold) this.#hold(body, response);
    else this.#send(response, { status: HttpStatus.badRequest, body: {} });
  }

  #send(response: ServerResponse, { status, body }: Reply): void {
    response.writeHead(status, { 'content-type': 'application/json' });
    response.end(JSON.stringify({ clockMs: this.#clockMs(), born: this.#bornMs, ...body }));
  }

  #extendLease(deadlineMs: number): void {
    const endMs = Math.min(deadlineMs, this.#clockMs() + MAX_HOLD_MS);
    if (endMs <= this.#leaseEndMs) return;
    this.#leaseEndMs = endMs;
    if (this.#leaseTimer) clearTimeout(this.#leaseTimer);
    this.#leaseTimer = setTimeout(() => {
      [...this.#runs.keys()].forEach((key) => this.#end(key, 'lapsed'));
    }, endMs - this.#clockMs());
  }

  #start(body: Record<string, unknown>): Reply {
    const { task, run, spec } = body as { task: string; run: number; spec: string };
    const key = `${task}#${run}`;
    if (this.#runs.has(key)) return { status: HttpStatus.ok, body: {} };
    if (run <= (this.#highestRuns.get(task) ?? 0)) return refusal('old');
    if (this.#clockMs() >= this.#leaseEndMs) return refusal('late');
    const step = this.#ledger.stepOf(task);
    if (!step) {
      this.#record.write('start-of-unknown-task', { worker: this.id, task });
      return { status: HttpStatus.badRequest, body: {} };
    }
    if (!this.#hasRoom(step)) return refusal('room');
    const workMs = spec === 'fail' ? 1 : Number(spec);
    const timer = setTimeout(() => this.#end(key, spec === 'fail' ? 'failed' : 'done'), workMs);
    const entry = this.#ledger.began(this.id, this.traits.labels, task, run);
    this.#runs.set(key, { entry, step, workMs, timer, stopping: false });
    this.#highestRuns.set(task, run);
    return { status: HttpStatus.ok, body: {} };
  }

  #hasRoom(step: StepBody): boolean {
    let { cpu, memMb } = this.traits.capacity;
    this.#runs.forEach((active) => {
      cpu -= active.step.cpu;
      memMb -= active.step.memMb;
    });
    return step.cpu <= cpu && step.memMb <= memMb;
  }

  #stop(body: Record<string, unknown>): Reply {
    const { task, run } = body as { task: string; run: number };
    const key = `${task}#${run}`;
    this.#highestRuns.set(task, Math.max(run, this.#highestRuns.get(task) ?? 0));
    const active = this.#runs.get(key);
    if (active && !active.stopping) {
      active.stopping = true;
      clearTimeout(active.timer);
      active.timer = setTimeout(() => this.#end(key, 'stopped'), STOP_MS);
    }
    return { status: HttpStatus.ok, body: {} };
  }

  #end(key: string, how: string): void {
    const active = this.#runs.get(key);
    if (!active) return;
    clearTimeout(active.timer);
    this.#runs.delete(key);
    this.#ledger.ended(active.entry, how);
    this.#lastEnd += 1;
    this.#ended.push([this.#lastEnd, active.entry.task, active.entry.run, how, '']);
    const waiting = [...this.#waitingHolds];
    this.#waitingHolds.clear();
    waiting.forEach((answer) => answer());
  }

  #hold(body: Record<string, unknown>, response: ServerResponse): void {
    const lastSeen = Number(body.lastSeen ?? 0);
    this.#ended = this.#ended.filter(([number]) => number > lastSeen);
    let isAnswered = false;
    const answer = () => {
      if (isAnswered) return;
      isAnswered = true;
      this.#waitingHolds.delete(answer);
      const nowMs = this.#ledgerNowMs();
      const running = [...this.#runs.values()].map(({ entry, step, workMs }) => {
        const percent = Math.floor((100 * (nowMs - entry.beganAtMs)) / workMs);
        return [entry.task, entry.run, '', Math.min(99, percent), step.cpu];
      });
      this.#send(response, { status: HttpStatus.ok, body: { running, endedRuns: this.#ended } });
    };
    const waitMs = Number(body.waitMs ?? 0);
    if (waitMs <= 0 || this.#ended.length > 0) {
      answer();
      return;
    }
    this.#waitingHolds.add(answer);
    setTimeout(answer, waitMs);
  }

  #ledgerNowMs(): number {
    return this.#record.nowMs();
  }
}
