/**
 * An open-loop load on running hosts through the callers' interface, for the command line and for
 * demos. The jobs and the times at which they are due depend only on the options.
 */
import { seededRandom } from './loadArrivals';
import type { PlannedJob } from './loadArrivals';
import { LoadClient } from './loadClient';
import { Distribution } from './loadDistribution';
import { FigureCollector } from './loadFigures';
import { LoadHosts } from './loadHosts';
import { LoadKeys } from './loadKeys';
import { LoadPlan } from './loadPlan';
import { DEFAULT_LOAD, LoadOutcome } from './loadTypes';
import type { LoadOptions, LoadReport } from './loadTypes';

/** Streams of random numbers apart from those of the kinds, which count from 0. */
const HOST_STREAM = -1;
const KEY_STREAM = -2;
const ROUND_TRIP_SAMPLES = 21;
const ROUND_TRIP_TIMEOUT_MS = 2000;
/** Used when no host answers before the run. */
const UNKNOWN_ROUND_TRIP_MS = 1;

type RequiredOptions = Omit<LoadOptions, keyof typeof DEFAULT_LOAD>;

/** One run of a load. */
export class LoadGenerator {
  readonly #options: LoadOptions;

  readonly #plan: LoadPlan;

  readonly #hosts: LoadHosts;

  readonly #keys: LoadKeys;

  readonly #client: LoadClient;

  readonly #total = new FigureCollector();

  readonly #kinds = new Map<string, FigureCollector>();

  readonly #periodRatio = new Distribution();

  readonly #sendLagMs = new Distribution();

  #startedAtMs: number | null = null;

  #roundTripMs = UNKNOWN_ROUND_TRIP_MS;

  #openJobs = 0;

  #sendingEnded = false;

  #timer: NodeJS.Timeout | undefined;

  /** Set while a run is in progress; ends it. */
  #finish: (() => void) | null = null;

  constructor(options: RequiredOptions & Partial<LoadOptions>) {
    this.#options = { ...DEFAULT_LOAD, ...options };
    const { hosts, kinds, jobsPerS, seed, avoidHostMs, answerMarginMs, resubmits } = this.#options;
    this.#plan = new LoadPlan(kinds, jobsPerS, seed);
    this.#hosts = new LoadHosts(hosts, avoidHostMs, seededRandom(seed, HOST_STREAM));
    this.#keys = new LoadKeys(this.#hosts, seededRandom(seed, KEY_STREAM));
    this.#client = new LoadClient(this.#hosts, this.#keys, answerMarginMs, resubmits);
    kinds.forEach(({ team, kind }) => this.#kinds.set(`${team}/${kind}`, new FigureCollector()));
  }

  /** Sends the load once; resolves when every job has an answer or was given up. */
  async run(): Promise<LoadReport> {
    this.#roundTripMs = await this.#measureRoundTrip();
    if (this.#options.kinds.some((kind) => kind.keyed)) await this.#keys.fill();
    const finished = new Promise<void>((resolve) => {
      this.#finish = resolve;
    });
    this.#startedAtMs = performance.now();
    const progress = this.#startProgress();
    this.#launchDue();
    this.#finishIfDone();
    await finished;
    clearInterval(progress);
    const kinds = [...this.#kinds].map(([name, collector]) => [name, collector.figures()] as const);
    return {
      seed: this.#options.seed,
      elapsedMs: this.#elapsedMs(),
      roundTripMs: this.#roundTripMs,
      sendLagMs: this.#sendLagMs.percentiles(),
      total: this.#total.figures(),
      kinds: Object.fromEntries(kinds),
    };
  }

  /** Changes the rate of all jobs during a run. */
  setRate(jobsPerS: number): void {
    this.#plan.setRate(jobsPerS, this.#elapsedMs());
    this.#reschedule();
  }

  /** Multiplies the rate of one kind during a run; 1 ends a flood. */
  setFactor(team: string, kind: string, factor: number): void {
    this.#plan.setFactor(team, kind, factor, this.#elapsedMs());
    this.#reschedule();
  }

  /** Gives up the jobs in progress; a run that is in progress then resolves. */
  async close(): Promise<void> {
    clearTimeout(this.#timer);
    await this.#hosts.close();
    this.#endSending();
  }

  #elapsedMs(): number {
    return this.#startedAtMs === null ? 0 : performance.now() - this.#startedAtMs;
  }

  #reschedule(): void {
    if (this.#finish === null || this.#sendingEnded) return;
    clearTimeout(this.#timer);
    this.#launchDue();
  }

  #launchDue(): void {
    if (this.#hosts.closed) return;
    const nowMs = Math.min(this.#elapsedMs(), this.#options.durationMs);
    while (this.#plan.dueMs <= nowMs) this.#launch(this.#plan.take());
    if (this.#plan.dueMs <= this.#options.durationMs) {
      const delayMs = Math.max(0, this.#plan.dueMs - this.#elapsedMs());
      this.#timer = setTimeout(() => this.#launchDue(), delayMs);
    } else {
      const leftMs = Math.max(0, this.#options.durationMs - this.#elapsedMs());
      this.#timer = setTimeout(() => this.#endSending(), leftMs);
    }
  }

  async #launch(job: PlannedJob): Promise<void> {
    const collectors = [this.#total, this.#kinds.get(`${job.kind.team}/${job.kind.kind}`)];
    collectors.forEach((collector) => collector?.sent(job));
    this.#openJobs += 1;
    const sentMs = this.#elapsedMs();
    this.#sendLagMs.record(sentMs - job.dueMs);
    const reply = await this.#client.submit(job);
    const responseMs = this.#elapsedMs() - sentMs;
    const idealMs = Math.max(...job.runMs) + this.#roundTripMs;
    const end = { ...reply, responseMs, idealMs };
    collectors.forEach((collector) => collector?.ended(job, end));
    if (reply.outcome === LoadOutcome.complete) this.#periodRatio.record(responseMs / idealMs);
    this.#openJobs -= 1;
    this.#finishIfDone();
  }

  /** A timer may fire a little early, so the end is not derived from the clock. */
  #endSending(): void {
    this.#sendingEnded = true;
    this.#finishIfDone();
  }

  #finishIfDone(): void {
    if (!this.#sendingEnded || this.#openJobs > 0) return;
    this.#finish?.();
    this.#finish = null;
  }

  #startProgress(): NodeJS.Timeout {
    const { progressPeriodMs, onProgress } = this.#options;
    let lastMs = 0;
    let lastTasks = 0;
    return setInterval(() => {
      const elapsedMs = this.#elapsedMs();
      const tasks = this.#total.completedTasks;
      onProgress({
        elapsedMs,
        openJobs: this.#openJobs,
        completedTasksPerS: ((tasks - lastTasks) * 1000) / (elapsedMs - lastMs),
        ratio: this.#periodRatio.percentiles(),
        total: this.#total.figures(),
      });
      this.#periodRatio.reset();
      lastMs = elapsedMs;
      lastTasks = tasks;
    }, progressPeriodMs);
  }

  async #measureRoundTrip(): Promise<number> {
    const samples: number[] = [];
    await Array.from({ length: ROUND_TRIP_SAMPLES }).reduce<Promise<void>>(async (earlier) => {
      await earlier;
      const sentAtMs = performance.now();
      const reply = await this.#hosts.send(this.#hosts.choose(null), {
        method: 'GET',
        path: '/healthz',
        timeoutMs: ROUND_TRIP_TIMEOUT_MS,
      });
      if (typeof reply !== 'string') samples.push(performance.now() - sentAtMs);
    }, Promise.resolve());
    samples.sort((one, other) => one - other);
    return samples[Math.floor(samples.length / 2)] ?? UNKNOWN_ROUND_TRIP_MS;
  }
}
