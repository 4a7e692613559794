/**
 * Closed-loop load on a deployment: a fixed number of callers, each with one job at a time. A job goes
 * to one host under a key of the same or another host, and may be sent again later under its key.
 */
import type { SeededRandom } from '../bench/random';
import type { CallerJob, CallRecord, DeploymentCaller } from './deploymentCaller';

/** Kinds of jobs and their sizes. */
export interface DeploymentLoadOptions {
  readonly callers: number;
  readonly kinds: readonly Pick<CallerJob, 'team' | 'kind' | 'deadlineMs'>[];
  readonly tasks: { readonly low: number; readonly high: number };
  readonly runMs: { readonly low: number; readonly high: number };
  /** Fraction of the jobs that go to another host than the issuer of their key. */
  readonly forwarded: number;
  /** Fraction of the jobs that are sent twice at once, the second time through another host. */
  readonly doubled: number;
  /** Ask each host for its readiness before it gets a key request, as a load balancer does. */
  readonly checkReady: boolean;
}

/** Jobs that are sent again at the same time. */
const RESUBMITTED_AT_ONCE = 50;
/** Wait of a caller that found no host with a key for it. */
const NO_KEY_WAIT_MS = 20;

function pause(delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });
}

/** Callers that run until `stop`, or until their calls can no longer be sent. */
export class DeploymentLoad {
  readonly #caller: DeploymentCaller;

  readonly #hosts: readonly string[];

  readonly #options: DeploymentLoadOptions;

  readonly #random: SeededRandom;

  #jobs = 0;

  #stopping = false;

  #running: Promise<unknown> = Promise.resolve();

  constructor(
    caller: DeploymentCaller,
    hosts: readonly string[],
    options: DeploymentLoadOptions,
    random: SeededRandom,
  ) {
    this.#caller = caller;
    this.#hosts = hosts;
    this.#options = options;
    this.#random = random;
  }

  start(): void {
    const { callers } = this.#options;
    this.#running = Promise.all(Array.from({ length: callers }, () => this.#runCaller()));
  }

  /** Resolves when the last call has ended. */
  async stop(): Promise<void> {
    this.#stopping = true;
    await this.#running;
  }

  /** Sends each job again under its key through a host other than the first; resolves when answered. */
  async resubmitAll(): Promise<void> {
    const first = this.#caller.calls.filter(({ resubmission }) => !resubmission);
    const lanes = Array.from({ length: RESUBMITTED_AT_ONCE }, () => this.#resubmitFrom(first));
    await Promise.all(lanes);
  }

  async #runCaller(): Promise<void> {
    if (this.#stopping || this.#caller.closed) return;
    await this.#runJob();
    await this.#runCaller();
  }

  async #runJob(): Promise<void> {
    const issuer = this.#random.pick(this.#hosts);
    const { forwarded, doubled, checkReady } = this.#options;
    const taken = !checkReady || (await this.#caller.ready(issuer));
    const key = taken ? await this.#caller.issueKey(issuer) : null;
    if (key === null) {
      await pause(NO_KEY_WAIT_MS);
      return;
    }
    const goesElsewhere = this.#random.next() < forwarded;
    const host = goesElsewhere ? this.#otherThan(issuer) : issuer;
    const job = this.#nextJob();
    const again = this.#random.next() < doubled ? this.#otherThan(host) : null;
    await Promise.all([
      this.#caller.submit(host, key, job),
      ...(again === null ? [] : [this.#caller.submit(again, key, job, true)]),
    ]);
  }

  /** Takes calls off the end of the list until it is empty. */
  async #resubmitFrom(calls: CallRecord[]): Promise<void> {
    const call = calls.pop();
    if (call === undefined) return;
    await this.#caller.submit(this.#otherThan(call.host), call.key, call.job, true);
    await this.#resubmitFrom(calls);
  }

  #otherThan(host: string): string {
    return this.#random.pick(this.#hosts.filter((other) => other !== host));
  }

  #nextJob(): CallerJob {
    const { kinds, tasks, runMs } = this.#options;
    this.#jobs += 1;
    return {
      number: this.#jobs,
      ...this.#random.pick(kinds),
      runMs: Array.from({ length: this.#random.integer(tasks.low, tasks.high) }, () =>
        this.#random.integer(runMs.low, runMs.high),
      ),
    };
  }
}
