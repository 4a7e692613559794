/** Metrics of one dispatcher process, and the HTTP server for scrapes. */
import { createServer, type Server } from 'node:http';
import { Counter, Gauge, Histogram, Registry } from 'prom-client';
import type { LogFields } from '../observe/observer';
import type { CellOwner } from './ownership/cellOwner';
import type { DispatchJournal } from './journal';

/** Upper bounds in seconds, from one network round trip to the longest time that callers wait. */
const LATENCY_BUCKETS_S = [0.01, 0.03, 0.06, 0.1, 0.15, 0.25, 0.4, 0.6, 0.9, 1.5, 3];
const MS_PER_S = 1000;

/** Metrics of the drains of failure domains, which the command line reads too. */
export const DrainMetric = {
  sinceSeconds: 'wasabiyoke_domain_drained_since_seconds',
  runs: 'wasabiyoke_domain_drain_runs',
} as const;

/** Metrics of one process. */
export class DispatchMetrics {
  readonly #registry = new Registry();

  readonly #jobs: Counter<'queue' | 'outcome' | 'reason'>;

  readonly #jobSeconds: Histogram<'queue' | 'outcome'>;

  readonly #decisions: Counter<'decision'>;

  readonly #batches: Counter<'queue' | 'outcome' | 'reason' | 'delayed'>;

  readonly #delayed: Counter<'queue' | 'cause'>;

  constructor() {
    const registers = [this.#registry];
    this.#jobs = new Counter({
      name: 'wasabiyoke_jobs_total',
      help: 'Jobs answered, by queue, outcome and reason',
      labelNames: ['queue', 'outcome', 'reason'],
      registers,
    });
    this.#jobSeconds = new Histogram({
      name: 'wasabiyoke_job_seconds',
      help: 'Time from the arrival of a job to its answer',
      labelNames: ['queue', 'outcome'],
      buckets: LATENCY_BUCKETS_S,
      registers,
    });
    this.#decisions = new Counter({
      name: 'wasabiyoke_decisions_total',
      help: 'Decisions by name, as in the log',
      labelNames: ['decision'],
      registers,
    });
    this.#batches = new Counter({
      name: 'wasabiyoke_batches_ended_total',
      help: 'Batches ended by the cells owned, by queue, outcome, reason, and whether delayed',
      labelNames: ['queue', 'outcome', 'reason', 'delayed'],
      registers,
    });
    this.#delayed = new Counter({
      name: 'wasabiyoke_batches_delayed_total',
      help: 'Batches that miss their objective and are served late, by queue and cause',
      labelNames: ['queue', 'cause'],
      registers,
    });
  }

  recordJob(queue: string, outcome: string, reason: string, elapsedMs: number): void {
    this.#jobs.inc({ queue, outcome, reason });
    this.#jobSeconds.observe({ queue, outcome }, elapsedMs / MS_PER_S);
  }

  /** Counts a decision by its name, and those on batches by their fields too. */
  countDecision(decision: string, fields: LogFields = {}): void {
    this.#decisions.inc({ decision });
    const { queue, outcome, reason, delayed, cause } = fields;
    if (decision === 'batch-ended') {
      const labels = { queue: String(queue), outcome: String(outcome) };
      this.#batches.inc({ ...labels, reason: String(reason ?? ''), delayed: String(delayed) });
    }
    if (decision === 'batch-delayed') {
      this.#delayed.inc({ queue: String(queue), cause: String(cause) });
    }
  }

  /** Registers gauges that read the state at each scrape. */
  observeState(state: {
    readonly pending: () => number;
    readonly owners: () => readonly CellOwner[];
    readonly firstServiceMs: () => number | null;
    readonly configurationVersion: () => number;
    /** For how long a newer version has been known from other hosts; 0 if there is none. */
    readonly configurationBehindMs: () => number;
    readonly domains: readonly string[];
    /** When this host learned of a drain, in Unix milliseconds; null if the domain has none. */
    readonly drainedSinceMs: (domain: string) => number | null;
    /** Runs in progress in the cells of a domain that this host owns. */
    readonly runsIn: (domain: string) => number;
    /** Time since the lists of workers of the cells owned were read, in ms. */
    readonly workerListAgeMs: () => number;
    readonly droppedLines: () => number;
  }): void {
    this.#gauge(
      'wasabiyoke_first_service_seconds',
      'Time from the start of the process until it knew of a served cell; -1 before that',
      () => {
        const firstServiceMs = state.firstServiceMs();
        return firstServiceMs === null ? -1 : firstServiceMs / MS_PER_S;
      },
    );
    this.#gauge('wasabiyoke_jobs_pending', 'Jobs without an answer', state.pending);
    this.#gauge('wasabiyoke_cells_owned', 'Cells that this host owns', () => state.owners().length);
    this.#gauge('wasabiyoke_configuration_version', 'Version in force', state.configurationVersion);
    this.#gauge(
      'wasabiyoke_configuration_behind_seconds',
      'Time since other hosts have had a newer version than the one in force; 0 if none has',
      () => state.configurationBehindMs() / MS_PER_S,
    );
    this.#gauge('wasabiyoke_log_lines_dropped', 'Log lines left out', state.droppedLines);
    this.#domainGauge(
      DrainMetric.sinceSeconds,
      'Unix time at which this host learned of the drain of a domain; 0 without one',
      state.domains,
      (domain) => (state.drainedSinceMs(domain) ?? 0) / MS_PER_S,
    );
    this.#domainGauge(
      DrainMetric.runs,
      'Runs left in the cells owned of a drained domain',
      state.domains,
      (domain) => (state.drainedSinceMs(domain) === null ? 0 : state.runsIn(domain)),
    );
    this.#gauge('wasabiyoke_batches_waiting', 'Batches in the cells owned', () =>
      state.owners().reduce((sum, owner) => sum + owner.cellState.pending, 0),
    );
    this.#gauge('wasabiyoke_workers_reachable', 'Workers that answer, in the cells owned', () =>
      state.owners().reduce((sum, owner) => {
        const workers = [...owner.cellState.workers.values()];
        return sum + workers.filter(({ reachable }) => reachable).length;
      }, 0),
    );
    this.#gauge(
      'wasabiyoke_worker_list_age_seconds',
      'Time since the directory was read for the oldest list of workers of the cells owned',
      () => state.workerListAgeMs() / MS_PER_S,
    );
    this.#gauge('wasabiyoke_runs', 'Runs in progress in the cells owned', () =>
      state.owners().reduce((sum, owner) => sum + owner.cellState.runCount, 0),
    );
  }

  /** All metrics in the text format of a scrape. */
  text(): Promise<string> {
    return this.#registry.metrics();
  }

  /** Serves the metrics at `ip:port`, on every path. */
  listen(ip: string, port: number, journal: DispatchJournal): Server {
    const server = createServer((_, response) => {
      this.text().then(
        (text) => response.end(text),
        (error: unknown) => {
          journal.logDecision('scrape-failed', { error: String(error) });
          response.destroy();
        },
      );
    });
    return server.listen(port, ip);
  }

  /** A gauge with one value for each failure domain. */
  #domainGauge(
    name: string,
    help: string,
    domains: readonly string[],
    read: (domain: string) => number,
  ): void {
    const gauge: Gauge<'domain'> = new Gauge({
      name,
      help,
      labelNames: ['domain'],
      registers: [this.#registry],
      collect: () => domains.forEach((domain) => gauge.set({ domain }, read(domain))),
    });
  }

  #gauge(name: string, help: string, read: () => number): void {
    const gauge: Gauge = new Gauge({
      name,
      help,
      registers: [this.#registry],
      collect: () => gauge.set(read()),
    });
  }
}
