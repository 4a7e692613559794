/**
 * Callers of the soak: jobs at a steady rate over connections that stay open until the process at the
 * other end is gone. A job whose answer is lost is sent again, to another host.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { Pool } from 'undici';
import type { RandomSource } from '../../src/core/clock';
import { jobIdOf, jobRequest } from '../platform/jobRequest';
import type { Invariants, SoakJob } from './invariants';
import type { SoakHost } from './soakHost';
import type { SoakShape } from './soakShape';

/** An answer may come so much later than the deadline. */
const ANSWER_SLACK_MS = 700;
const RETRY_MS = 1300;
const MOST_SENDS = 3;
/** Share of jobs whose tasks all fail. */
const FAILING = 0.03;
/** Failed runs of a task before its job is shown as failed. */
export const MAX_ATTEMPTS = 2;

const HttpStatus = {
  ok: 200,
  tooManyRequests: 429,
  badGateway: 502,
  unavailable: 503,
  gatewayTimeout: 504,
} as const;

const Answer = { final: 'final', rejected: 'rejected', lost: 'lost' } as const;
type Answer = (typeof Answer)[keyof typeof Answer];

/** Counts of one second. */
export interface Served {
  asked: number;
  completed: number;
}

/** All callers. */
export class SoakCallers {
  readonly served = new Map<number, Served>();

  readonly #shape: SoakShape;

  readonly #hosts: readonly SoakHost[];

  readonly #invariants: Invariants;

  readonly #random: RandomSource;

  readonly #pools = new Map<string, Pool>();

  readonly #open = new Set<Promise<void>>();

  #count = 0;

  constructor(
    shape: SoakShape,
    hosts: readonly SoakHost[],
    invariants: Invariants,
    random: RandomSource,
  ) {
    this.#shape = shape;
    this.#hosts = hosts;
    this.#invariants = invariants;
    this.#random = random;
    hosts.forEach(({ callersAddress }) => {
      this.#pools.set(callersAddress, new Pool(`http://${callersAddress}`, { connections: 8 }));
    });
  }

  /** Submits jobs for some time and waits until all have ended. */
  async run(seconds: number): Promise<void> {
    const { jobsPerSecond } = this.#shape;
    const total = seconds * jobsPerSecond;
    for (let sent = 0; sent < total; sent += 1) {
      const job = this.#begin(Math.floor(sent / jobsPerSecond));
      this.#open.add(job);
      job.finally(() => this.#open.delete(job));
      // eslint-disable-next-line no-await-in-loop -- a steady rate
      await sleep(1000 / jobsPerSecond);
    }
    await Promise.all(this.#open);
  }

  async close(): Promise<void> {
    await Promise.all([...this.#pools.values()].map((pool) => pool.destroy()));
  }

  async #begin(second: number): Promise<void> {
    this.#count += 1;
    const { leastRunMs, mostRunMs, mostTasks, taskSkew } = this.#shape;
    const runMs = leastRunMs + this.#random.next() * (mostRunMs - leastRunMs);
    const job: SoakJob = {
      id: jobIdOf(this.#count),
      payload: this.#random.next() < FAILING ? 'fail' : String(Math.round(runMs)),
      tasks: 1 + Math.floor(this.#random.next() ** taskSkew * mostTasks),
      rejectedOnly: true,
      settled: false,
    };
    const served = this.served.get(second) ?? { asked: 0, completed: 0 };
    this.served.set(second, served);
    served.asked += 1;
    this.#invariants.submitted(job);
    if (await this.#submit(job)) served.completed += 1;
  }

  /** True if the job ended; a job whose answer is lost is sent again. */
  async #submit(job: SoakJob): Promise<boolean> {
    const known = job;
    const first = Math.floor(this.#random.next() * this.#hosts.length);
    for (let sends = 0; sends < MOST_SENDS; sends += 1) {
      const index = first + sends * this.#shape.resubmitStride;
      const host = this.#hosts[index % this.#hosts.length];
      // eslint-disable-next-line no-await-in-loop -- one after the other
      const answer = host ? await this.#send(job, host) : Answer.lost;
      if (answer === Answer.final) return true;
      if (answer === Answer.rejected) {
        known.settled = true;
        if (job.rejectedOnly) this.#invariants.rejected(job);
        return false;
      }
      known.rejectedOnly = false;
      // eslint-disable-next-line no-await-in-loop -- one after the other
      await sleep(RETRY_MS);
    }
    known.settled = true;
    return false;
  }

  async #send(job: SoakJob, host: SoakHost): Promise<Answer> {
    const sentAtMs = performance.now();
    this.#invariants.called(job, host.hostId, 'job-sent');
    const answer = await this.#receive(job, host, sentAtMs);
    this.#invariants.called(job, host.hostId, `answer-${answer}`);
    return answer;
  }

  async #receive(job: SoakJob, host: SoakHost, sentAtMs: number): Promise<Answer> {
    const { deadlineMs } = this.#shape;
    try {
      const response = await this.#pools.get(host.callersAddress)?.request({
        ...jobRequest({ ...job, deadlineMs }),
        signal: AbortSignal.timeout(deadlineMs + ANSWER_SLACK_MS),
      });
      return await this.#read(job, response?.statusCode ?? 0, await response?.body.text());
    } catch {
      this.#checkSilence(job, host, sentAtMs);
      return Answer.lost;
    }
  }

  async #read(job: SoakJob, status: number, text = ''): Promise<Answer> {
    switch (status) {
      case HttpStatus.ok:
        this.#invariants.answered(job, (JSON.parse(text) as { state: string }).state, MAX_ATTEMPTS);
        return Answer.final;
      case HttpStatus.tooManyRequests:
      case HttpStatus.unavailable:
        return Answer.rejected;
      case HttpStatus.badGateway:
      case HttpStatus.gatewayTimeout:
        return Answer.lost;
      default:
        this.#invariants.note(`${job.id} got status ${status}`);
        return Answer.lost;
    }
  }

  /** A host that has run since the job was sent answers by the deadline. */
  #checkSilence(job: SoakJob, host: SoakHost, sentAtMs: number): void {
    const isLate = performance.now() - sentAtMs >= this.#shape.deadlineMs + ANSWER_SLACK_MS;
    if (!isLate || host.disturbedUntilMs >= sentAtMs) return;
    this.#invariants.note(`${job.id} got no answer from ${host.hostId} in time`);
  }
}
