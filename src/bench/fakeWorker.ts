/**
 * A worker that keeps the contract of docs/design.md, section 8: slots, leases, refusals, revoke,
 * incarnation, and attempt ids that never start twice. Its record of starts is the oracle's truth.
 */
import type { Resources } from '../core/job';
import type { WorkerRef } from '../core/messages';
import type { HostListEntry } from '../workers/hostList';
import type { AttemptResult, TaskStart, WorkerStatus } from '../workers/workers';
import type { FleetShape } from './fleet';
import type { SeededRandom } from './random';
import { resultOf } from './records';
import type { AttemptEnd, RunRecord, StartRecord, TaskPayload } from './records';
import type { Timeline } from './timeline';
import type { WorkerBehaviour } from './workerBehaviour';
import { HEALTHY } from './workerBehaviour';

/** Takes the answer to one request. */
export type Reply = (result: AttemptResult) => void;

const FAILURE_RUN_MS = 5;
/** The usage figures of a status report are sampled at this period. */
const SAMPLE_MS = 500;

interface Attempt {
  readonly taskId: string;
  readonly payload: TaskPayload;
  readonly resources: Resources;
  readonly record: StartRecord;
  readonly waiters: Reply[];
  result: AttemptResult;
  leaseEndsMs: number;
}

/** One worker. */
export class FakeWorker {
  readonly entry: HostListEntry;

  behaviour: WorkerBehaviour = HEALTHY;

  leaving = false;

  /** `dead` refuses connections; `silent` and `frozen` don't answer. */
  phase: 'up' | 'dead' | 'silent' | 'frozen' = 'up';

  readonly #shape: FleetShape;

  readonly #timeline: Timeline;

  readonly #record: RunRecord;

  readonly #random: SeededRandom;

  #life = 1;

  #attempts = new Map<string, Attempt | 'revoked'>();

  #running = 0;

  #used = { cores: 0, memoryMb: 0, accelerators: 0 };

  #sample = { atMs: 0, running: 0 };

  #backlog: (() => void)[] = [];

  constructor(
    entry: HostListEntry,
    shape: FleetShape,
    timeline: Timeline,
    record: RunRecord,
    random: SeededRandom,
  ) {
    this.entry = entry;
    this.#shape = shape;
    this.#timeline = timeline;
    this.#record = record;
    this.#random = random;
  }

  get incarnation(): string {
    return `${this.entry.id}#${this.#life}`;
  }

  get running(): number {
    return this.#running;
  }

  /** Whether a request gets no answer at all. */
  get mute(): boolean {
    return this.phase === 'silent' || this.phase === 'frozen';
  }

  start(worker: WorkerRef, start: TaskStart, reply: Reply): void {
    if (this.phase === 'frozen') {
      this.#backlog.push(() => this.start(worker, start, reply));
      return;
    }
    const known = this.#attempts.get(start.attemptId);
    if (worker.incarnation !== this.incarnation) {
      reply({ state: 'notStarted', reason: 'incarnation' });
    } else if (known === 'revoked') {
      reply({ state: 'notStarted', reason: 'revoked' });
    } else if (known !== undefined) {
      this.#answerAtEnd(known, reply);
    } else if (this.leaving) {
      reply({ state: 'notStarted', reason: 'leaving' });
    } else if (!this.#hasRoom(start)) {
      reply({ state: 'notStarted', reason: 'full' });
    } else {
      this.#begin(start, reply);
    }
  }

  revoke(worker: WorkerRef, attemptId: string, reply: Reply): void {
    if (this.phase === 'frozen') {
      this.#backlog.push(() => this.revoke(worker, attemptId, reply));
      return;
    }
    const known = this.#attempts.get(attemptId);
    if (worker.incarnation !== this.incarnation) {
      reply({ state: 'unclear', error: 'incarnation', gone: true });
    } else if (known === undefined || known === 'revoked') {
      this.#attempts.set(attemptId, 'revoked');
      this.#answer(reply, { state: 'notStarted', reason: 'revoked' });
    } else {
      this.#answer(reply, known.result);
    }
  }

  inquire(worker: WorkerRef, attemptId: string, waitMs: number, reply: Reply): void {
    if (this.phase === 'frozen') {
      this.#backlog.push(() => this.inquire(worker, attemptId, waitMs, reply));
      return;
    }
    const known = this.#attempts.get(attemptId);
    if (worker.incarnation !== this.incarnation || known === undefined) {
      reply({ state: 'unclear', error: 'no such attempt', gone: true });
    } else if (known === 'revoked') {
      reply({ state: 'notStarted', reason: 'revoked' });
    } else if (known.result.state !== 'running' || waitMs <= 0) {
      this.#answer(reply, known.result);
    } else {
      this.#waitForEnd(known, waitMs, reply);
    }
  }

  renew(attemptIds: readonly string[], leaseMs: number): void {
    if (this.mute || this.phase === 'dead') {
      return;
    }
    attemptIds.forEach((id) => {
      const attempt = this.#attempts.get(id);
      if (attempt !== undefined && attempt !== 'revoked' && attempt.result.state === 'running') {
        attempt.leaseEndsMs = this.#timeline.nowMs() + leaseMs;
      }
    });
  }

  stop(attemptId: string): void {
    const attempt = this.#attempts.get(attemptId);
    if (this.phase === 'up' && attempt !== undefined && attempt !== 'revoked') {
      this.#end(attempt, 'stopped');
    }
  }

  status(): WorkerStatus {
    this.#takeSample();
    const { resources, slots } = this.#shape;
    return {
      id: this.entry.id,
      incarnation: this.incarnation,
      domain: this.entry.domain,
      rack: this.entry.rack,
      slots,
      ...resources,
      connections: 60,
      running: this.#sample.running,
      reportAgeMs: this.#timeline.nowMs() - this.#sample.atMs,
    };
  }

  /** Ends the process; open requests break, or stay open when the whole machine is gone. */
  die(phase: 'dead' | 'silent'): void {
    this.phase = phase;
    this.#backlog = [];
    this.#attempts.forEach((attempt) => {
      if (attempt !== 'revoked' && attempt.result.state === 'running') {
        const waiters = attempt.waiters.splice(0);
        this.#close(attempt, 'lost', { state: 'unclear', error: 'worker died' });
        if (phase === 'dead') waiters.forEach((reply) => reply(attempt.result));
      }
    });
  }

  /** Comes up with a new incarnation and no memory of attempts. */
  restart(): void {
    if (this.phase === 'up' || this.phase === 'frozen') {
      this.die('dead');
    }
    this.#life += 1;
    this.#attempts = new Map();
    this.phase = 'up';
  }

  freeze(): void {
    if (this.phase === 'up') {
      this.phase = 'frozen';
    }
  }

  thaw(): void {
    if (this.phase === 'frozen') {
      this.phase = 'up';
      this.#attempts.forEach((attempt) => {
        if (attempt !== 'revoked') {
          this.#checkLease(attempt);
        }
      });
      this.#backlog.splice(0).forEach((run) => run());
    }
  }

  #hasRoom(start: TaskStart): boolean {
    const total = this.#shape.resources;
    const { cores, memoryMb, accelerators } = start.resources;
    return (
      this.#running < this.#shape.slots &&
      this.#used.cores + cores <= total.cores &&
      this.#used.memoryMb + memoryMb <= total.memoryMb &&
      this.#used.accelerators + accelerators <= total.accelerators
    );
  }

  #use(resources: Resources, sign: 1 | -1): void {
    this.#takeSample();
    this.#running += sign;
    this.#used = {
      cores: this.#used.cores + sign * resources.cores,
      memoryMb: this.#used.memoryMb + sign * resources.memoryMb,
      accelerators: this.#used.accelerators + sign * resources.accelerators,
    };
  }

  #begin(start: TaskStart, reply: Reply): void {
    const nowMs = this.#timeline.nowMs();
    const payload = start.payload as TaskPayload;
    const record: StartRecord = {
      jobId: payload.jobId,
      taskId: start.task,
      attemptId: start.attemptId,
      workerId: this.entry.id,
      startedAtMs: nowMs,
      endedAtMs: null,
      end: null,
    };
    this.#record.starts.push(record);
    const attempt: Attempt = {
      taskId: start.task,
      payload,
      resources: start.resources,
      record,
      waiters: [],
      result: { state: 'running' },
      leaseEndsMs: nowMs + start.leaseMs,
    };
    this.#attempts.set(start.attemptId, attempt);
    this.#use(start.resources, 1);
    this.#answerAtEnd(attempt, reply);
    this.#runTask(attempt);
  }

  #runTask(attempt: Attempt): void {
    const { failEveryTask, slowFactor } = this.behaviour;
    const runMs = failEveryTask ? FAILURE_RUN_MS : attempt.payload.runMs * slowFactor;
    this.#timeline.after(runMs, () => this.#end(attempt, failEveryTask ? 'failed' : 'succeeded'));
    this.#timeline.at(attempt.leaseEndsMs, () => this.#checkLease(attempt));
  }

  #checkLease(attempt: Attempt): void {
    if (attempt.result.state !== 'running' || this.phase === 'frozen') {
      return;
    }
    if (attempt.leaseEndsMs <= this.#timeline.nowMs()) this.#end(attempt, 'stopped');
    else this.#timeline.at(attempt.leaseEndsMs, () => this.#checkLease(attempt));
  }

  #end(attempt: Attempt, end: 'succeeded' | 'failed' | 'stopped'): void {
    if (attempt.result.state !== 'running') {
      return;
    }
    if (this.phase === 'frozen') {
      this.#backlog.push(() => this.#end(attempt, end));
      return;
    }
    const runTimeMs = this.#timeline.nowMs() - attempt.record.startedAtMs;
    const result = resultOf(attempt.payload.jobId, attempt.taskId);
    if (end === 'succeeded') {
      this.#close(attempt, end, { state: 'succeeded', result, runTimeMs });
    } else if (end === 'failed') {
      this.#close(attempt, end, { state: 'failed', error: 'task failed', runTimeMs });
    } else {
      this.#close(attempt, end, { state: 'stopped', runTimeMs });
    }
    attempt.waiters.splice(0).forEach((reply) => this.#answer(reply, attempt.result));
  }

  #close(target: Attempt, end: AttemptEnd, result: AttemptResult): void {
    const attempt = target;
    attempt.result = result;
    attempt.record.end = end;
    attempt.record.endedAtMs = this.#timeline.nowMs();
    this.#use(attempt.resources, -1);
  }

  #answerAtEnd(attempt: Attempt, reply: Reply): void {
    if (attempt.result.state === 'running') {
      attempt.waiters.push(reply);
    } else {
      this.#answer(reply, attempt.result);
    }
  }

  #waitForEnd(attempt: Attempt, waitMs: number, reply: Reply): void {
    let open = true;
    attempt.waiters.push((result) => {
      if (open) {
        open = false;
        reply(result);
      }
    });
    this.#timeline.after(waitMs, () => {
      if (open && this.phase === 'up') {
        open = false;
        reply(attempt.result);
      }
    });
  }

  #answer(reply: Reply, result: AttemptResult): void {
    const lost = this.behaviour.loseAnswers > 0 && this.#random.next() < this.behaviour.loseAnswers;
    reply(lost ? { state: 'unclear', error: 'connection broken' } : result);
  }

  #takeSample(): void {
    const periodStartMs = Math.floor(this.#timeline.nowMs() / SAMPLE_MS) * SAMPLE_MS;
    if (this.#sample.atMs < periodStartMs) {
      this.#sample = { atMs: periodStartMs, running: this.#running };
    }
  }
}
