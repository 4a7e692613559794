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
type ResultHandler = (attemptId: string, source: Source, result: AttemptResult) => void;
type Request = (worker: FakeWorker, reply: Reply) => void;

/** Requests of one host. */
export class WorkerCalls {
  readonly #site: CallSite;

  readonly #onResult: ResultHandler;

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
    const call = { open: true, unansweredMs: 0 };
    const settle: Reply = (result) => {
      if (call.open) {
        call.open = false;
        this.#countResult(source, result);
        this.#onResult(attemptId, source, result);
      }
    };
    const reply: Reply = (result) =>
      network.deliver(worker.entry.domain, domain, () => settle(result));
    network.deliver(domain, worker.entry.domain, () => {
      if (worker.phase === 'dead') {
        reply(WorkerCalls.#unreachable(source));
      } else if (worker.phase !== 'silent') {
        send(worker, reply);
      }
    });
    this.#watch(worker, call, settle);
  }

  /** Gives an open request up once its worker has been silent for `SILENCE_MS`. */
  #watch(worker: FakeWorker, call: { open: boolean; unansweredMs: number }, settle: Reply): void {
    const watched = call;
    this.#site.timeline.after(SILENCE_CHECK_MS, () => {
      if (!watched.open) {
        return;
      }
      const quiet =
        worker.phase === 'dead' ||
        worker.mute ||
        this.#site.network.blocked(this.#site.domain, worker.entry.domain);
      watched.unansweredMs = quiet ? watched.unansweredMs + SILENCE_CHECK_MS : 0;
      if (watched.unansweredMs >= SILENCE_MS) {
        settle({ state: 'unclear', error: 'no answer' });
      } else {
        this.#watch(worker, watched, settle);
      }
    });
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
