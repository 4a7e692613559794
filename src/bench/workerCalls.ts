/**
 * The workers' client of one host in virtual time. Each request gets exactly one result: a refused
 * connection is `notStarted`, a broken one is `unclear`, and so is silence for too long.
 */
import type { WorkerRef } from '../core/messages';
import type { AttemptResult, TaskStart, WorkerStatus } from '../workers/workers';
import type { FakeWorker, Reply } from './fakeWorker';
import type { Network } from './network';
import type { MessageCount, RunRecord, TaskPayload } from './records';
import type { Timeline } from './timeline';

/** Time without any contact after which an open request is given up. */
const SILENCE_MS = 1500;
const SILENCE_CHECK_MS = 250;
const STATUS_TIMEOUT_MS = 1000;

/** What the calls need of the run. */
export interface CallSite {
  readonly domain: string;
  readonly timeline: Timeline;
  readonly network: Network;
  readonly record: RunRecord;
  readonly workers: ReadonlyMap<string, FakeWorker>;
}

type Source = 'start' | 'revoke' | 'inquire';

interface OpenCall {
  readonly worker: FakeWorker;
  readonly attemptId: string;
  readonly source: Source;
  unansweredMs: number;
}

type ResultHandler = (attemptId: string, source: Source, result: AttemptResult) => void;
type Request = (worker: FakeWorker, reply: Reply) => void;

/** Requests of one host. */
export class WorkerCalls {
  readonly #site: CallSite;

  readonly #onResult: ResultHandler;

  readonly #open = new Set<OpenCall>();

  #watching = false;

  constructor(site: CallSite, onResult: ResultHandler) {
    this.#site = site;
    this.#onResult = onResult;
  }

  start(worker: WorkerRef, start: TaskStart): void {
    const { record } = this.#site;
    const { jobId } = start.payload as TaskPayload;
    record.startSent(jobId, start.task);
    this.#request(worker, start.attemptId, 'start', (target, reply) =>
      target.start(worker, start, (result) => {
        const ended = result.state === 'succeeded' || result.state === 'failed';
        if (ended && record.answeredJobs.has(jobId)) {
          record.count('unwantedResults');
        }
        reply(result);
      }),
    );
  }

  revoke(worker: WorkerRef, attemptId: string): void {
    this.#site.record.count('revokes');
    this.#request(worker, attemptId, 'revoke', (target, reply) =>
      target.revoke(worker, attemptId, reply),
    );
  }

  inquire(worker: WorkerRef, attemptId: string, waitMs: number): void {
    this.#site.record.count('inquiries');
    this.#request(worker, attemptId, 'inquire', (target, reply) =>
      target.inquire(worker, attemptId, waitMs, reply),
    );
  }

  stop(worker: WorkerRef, attemptId: string): void {
    this.#oneWay(worker, (target) => target.stop(attemptId));
  }

  renew(worker: WorkerRef, attemptIds: readonly string[], leaseMs: number): void {
    this.#oneWay(worker, (target) => target.renew(attemptIds, leaseMs));
  }

  /** Calls back with null when the worker did not answer. */
  status(address: string, onStatus: (status: WorkerStatus | null) => void): void {
    const { domain, timeline, network, record } = this.#site;
    const worker = this.#byAddress(address);
    let open = true;
    const settle = (status: WorkerStatus | null): void => {
      if (open) {
        open = false;
        record.count(status === null ? 'pollsFailed' : 'polls');
        onStatus(status);
      }
    };
    timeline.after(STATUS_TIMEOUT_MS, () => settle(null));
    network.deliver(domain, worker.entry.domain, () => {
      if (!worker.mute) {
        const status = worker.phase === 'up' ? worker.status() : null;
        network.deliver(worker.entry.domain, domain, () => settle(status));
      }
    });
  }

  #request(ref: WorkerRef, attemptId: string, source: Source, send: Request): void {
    const { domain, network } = this.#site;
    const worker = this.#byAddress(ref.address);
    const call: OpenCall = { worker, attemptId, source, unansweredMs: 0 };
    const reply: Reply = (result) =>
      network.deliver(worker.entry.domain, domain, () => this.#settle(call, result));
    network.deliver(domain, worker.entry.domain, () => {
      if (worker.phase === 'dead') {
        reply(WorkerCalls.#unreachable(source));
      } else if (worker.phase !== 'silent') {
        send(worker, reply);
      }
    });
    this.#open.add(call);
    this.#watch();
  }

  /** A request gets its first result only. */
  #settle(call: OpenCall, result: AttemptResult): void {
    if (this.#open.delete(call)) {
      this.#countResult(call.source, result);
      this.#onResult(call.attemptId, call.source, result);
    }
  }

  /** Gives requests up whose worker has been silent for `SILENCE_MS`; runs while any is open. */
  #watch(): void {
    if (this.#watching || this.#open.size === 0) {
      return;
    }
    this.#watching = true;
    this.#site.timeline.after(SILENCE_CHECK_MS, () => {
      this.#watching = false;
      this.#open.forEach((call) => this.#check(call));
      this.#watch();
    });
  }

  #check(target: OpenCall): void {
    const call = target;
    const { network, domain } = this.#site;
    const { phase, mute, entry } = call.worker;
    const quiet = phase === 'dead' || mute || network.blocked(domain, entry.domain);
    call.unansweredMs = quiet ? call.unansweredMs + SILENCE_CHECK_MS : 0;
    if (call.unansweredMs >= SILENCE_MS) {
      this.#settle(call, { state: 'unclear', error: 'no answer' });
    }
  }

  #oneWay(ref: WorkerRef, send: (worker: FakeWorker) => void): void {
    const worker = this.#byAddress(ref.address);
    this.#site.network.deliverOrDrop(this.#site.domain, worker.entry.domain, () => send(worker));
  }

  #countResult(source: Source, result: AttemptResult): void {
    const names: MessageCount[] = [];
    if (source === 'start' && result.state === 'notStarted') {
      names.push(result.reason === 'unreachable' ? 'startsUnreachable' : 'startsRefused');
    } else if (source === 'start' && result.state === 'unclear') {
      names.push('startsUnclear');
    } else if (source !== 'start' && ['unclear', 'running'].includes(result.state)) {
      names.push('probesWithoutEffect');
    }
    names.forEach((name) => this.#site.record.count(name));
  }

  #byAddress(address: string): FakeWorker {
    const worker = this.#site.workers.get(address);
    if (worker === undefined) {
      throw new Error(`no worker at ${address}`);
    }
    return worker;
  }

  static #unreachable(source: Source): AttemptResult {
    return source === 'start'
      ? { state: 'notStarted', reason: 'unreachable' }
      : { state: 'unclear', error: 'connection refused', gone: true };
  }
}
