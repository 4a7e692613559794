/**
 * A stand-in worker on loopback HTTP: the task logic is in `workerModel.ts`, and the faults of the
 * network and of the process are here. It takes real time.
 */
import { once } from 'node:events';
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import type { HostListEntry } from '../workers/hostList';
import type { WorkerRef } from '../core/messages';
import { WorkerModel } from './workerModel';
import { parseBody, parseStart } from './workerRequest';
import type { TimerScheduler, WorkerAnswer, WorkerModelOptions } from './workerTypes';

/** Faults of the network that can be switched on and off at any time. */
export interface ServerFaults {
  /** Each answer is sent this much later. */
  delayAnswersMs: number;
  /** The request takes effect, then its connection is reset instead of an answer. */
  loseAnswers: boolean;
  /** Connections are reset as soon as they are accepted. */
  cut: boolean;
}

/** Tasks left behind do not keep a process alive after its server is closed. */
const REAL_TIMERS: TimerScheduler = {
  after(delayMs, run) {
    const timer = setTimeout(run, delayMs).unref();
    return () => clearTimeout(timer);
  },
};

const TASK_PATH = /^\/v1\/tasks\/([^/]+)(?:\/(revoke|stop|checkpoint|throttle))?$/;

type Reply = (statusCode: number, body: unknown) => void;

function statusOf(answer: WorkerAnswer): number {
  if (answer.state === 'refused') return 409;
  return answer.state === 'unknown' ? 404 : 200;
}

/** Node 20 can't reset a socket whose shutdown is in progress, and would never close it. */
function reset(socket: Socket): void {
  if (socket.writableEnded) socket.destroy();
  else socket.resetAndDestroy();
}

/** One worker server on 127.0.0.1; `open` takes a free port, which it keeps over restarts. */
export class WorkerServer {
  readonly model: WorkerModel;

  readonly faults: ServerFaults = { delayAnswersMs: 0, loseAnswers: false, cut: false };

  /** Number of requests received by method and path form, for instance `PUT task`. */
  readonly requests = new Map<string, number>();

  readonly #options: Partial<WorkerModelOptions>;

  readonly #sockets = new Set<Socket>();

  readonly #delays = new Set<NodeJS.Timeout>();

  #server: Server | null = null;

  #port = 0;

  constructor(options: Partial<WorkerModelOptions> = {}) {
    this.#options = options;
    this.model = new WorkerModel(options, { nowMs: () => performance.now() }, REAL_TIMERS);
  }

  get address(): string {
    return `127.0.0.1:${this.#port}`;
  }

  /** The worker as a grant names it. */
  get ref(): WorkerRef {
    return { id: this.model.id, address: this.address, incarnation: this.model.incarnation };
  }

  /** The worker as the host list shows it. */
  get hostListEntry(): HostListEntry {
    const { domain = 'domain-1', rack = 'rack-1' } = this.#options;
    const state = this.model.faults.leaving ? 'leaving' : 'live';
    return { id: this.model.id, domain, rack, address: this.address, state };
  }

  /** Listens; also brings a worker back that has died, under its new incarnation. */
  async open(): Promise<void> {
    const server = createServer((request, response) => this.#receive(request, response));
    server.on('connection', (socket) => this.#accept(socket));
    server.listen(this.#port, '127.0.0.1');
    await once(server, 'listening');
    this.#port = (server.address() as AddressInfo).port;
    this.#server = server;
  }

  /** The process dies: tasks are lost, connections are reset and new ones refused. */
  async die(): Promise<void> {
    this.model.restart();
    await this.close();
  }

  /** Resets all connections and, until `faults.cut` is false again, all new ones. */
  cut(): void {
    this.faults.cut = true;
    this.#sockets.forEach(reset);
  }

  /** Stops listening and resets all connections; tasks in progress go on. */
  async close(): Promise<void> {
    const server = this.#server;
    if (server === null) return;
    this.#server = null;
    this.#delays.forEach((timer) => clearTimeout(timer));
    this.#delays.clear();
    const closed = once(server, 'close');
    server.close();
    this.#sockets.forEach(reset);
    await closed;
  }

  #accept(socket: Socket): void {
    // Resets are part of what this server brings about.
    socket.on('error', () => undefined);
    if (this.faults.cut) {
      reset(socket);
      return;
    }
    this.#sockets.add(socket);
    socket.on('close', () => this.#sockets.delete(socket));
  }

  #receive(request: IncomingMessage, response: ServerResponse): void {
    const chunks: Buffer[] = [];
    request.on('error', () => undefined);
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.on('end', () => {
      const body = parseBody(Buffer.concat(chunks).toString('utf8'));
      this.#route(request, body, (statusCode, answer) => this.#reply(response, statusCode, answer));
    });
  }

  #route(request: IncomingMessage, body: Readonly<Record<string, unknown>>, reply: Reply): void {
    const url = new URL(request.url ?? '/', 'http://worker');
    const route = `${request.method} ${url.pathname}`;
    const task = TASK_PATH.exec(url.pathname);
    if (task) {
      const attemptId = decodeURIComponent(task[1] ?? '');
      this.#count(`${request.method} ${task[2] ?? 'task'}`);
      const answer = (value: WorkerAnswer): void => reply(statusOf(value), value);
      const waitMs = Number(url.searchParams.get('waitMs') ?? 0);
      this.#routeTask(`${request.method} ${task[2] ?? ''}`, attemptId, { body, waitMs }, answer);
    } else if (route === 'POST /v1/leases') {
      this.#count('POST leases');
      const attemptIds = Array.isArray(body.attemptIds) ? body.attemptIds.map(String) : [];
      this.model.renew(attemptIds, Number(body.leaseMs), (renewed) => reply(200, { renewed }));
    } else if (route === 'GET /v1/status') {
      this.#count('GET status');
      this.model.status((status) => reply(200, status));
    } else {
      reply(404, { error: 'no such resource' });
    }
  }

  #routeTask(
    route: string,
    attemptId: string,
    input: { readonly body: Readonly<Record<string, unknown>>; readonly waitMs: number },
    answer: (value: WorkerAnswer) => void,
  ): void {
    const { body, waitMs } = input;
    switch (route) {
      case 'PUT ':
        this.model.start(parseStart(attemptId, body), answer);
        break;
      case 'GET ':
        this.model.inquire(attemptId, waitMs, answer);
        break;
      case 'POST revoke':
        this.model.revoke(attemptId, String(body.incarnation), answer);
        break;
      case 'POST stop':
        this.model.stop(attemptId, answer);
        break;
      case 'POST checkpoint':
        this.model.checkpoint(attemptId, answer);
        break;
      case 'POST throttle':
        this.model.throttle(attemptId, Number(body.fraction), answer);
        break;
      default:
        answer({ state: 'unknown' });
    }
  }

  #count(name: string): void {
    this.requests.set(name, (this.requests.get(name) ?? 0) + 1);
  }

  #reply(response: ServerResponse, statusCode: number, body: unknown): void {
    const { delayAnswersMs } = this.faults;
    if (delayAnswersMs <= 0) {
      this.#send(response, statusCode, body);
      return;
    }
    const timer = setTimeout(() => {
      this.#delays.delete(timer);
      this.#send(response, statusCode, body);
    }, delayAnswersMs);
    this.#delays.add(timer);
  }

  #send(response: ServerResponse, statusCode: number, body: unknown): void {
    if (this.faults.loseAnswers) {
      if (response.socket !== null) reset(response.socket);
      return;
    }
    const text = JSON.stringify(body);
    response.writeHead(statusCode, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
    });
    response.end(text);
  }
}
