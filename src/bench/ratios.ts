/** Response times relative to the ideal, as percentiles. */
import type { Histogram } from 'hdr-histogram-js';
import { build } from 'hdr-histogram-js';
import type { CallRecord, JobPlan, RunRecord } from './records';

/** Percentiles of response over ideal; null without a complete job. */
export interface Percentiles {
  readonly jobs: number;
  readonly median: number;
  readonly p99: number;
  readonly p999: number;
}

/** Ratios are kept as integers of this unit, with three significant digits. */
const UNIT = 10_000;

/** The job's longest task plus one client round trip. */
export function idealMs(plan: JobPlan, clientMs: number): number {
  return Math.max(...plan.tasks.map(({ runMs }) => runMs)) + 2 * clientMs;
}

/** First submissions of jobs that were sent in a window. */
export function callsOf(
  record: RunRecord,
  fromMs: number,
  untilMs: number,
  flood: boolean,
): readonly CallRecord[] {
  const seen = new Set<number>();
  return record.calls.filter((call) => {
    const first = call.type === 'submit' && !seen.has(call.jobId);
    seen.add(call.jobId);
    return (
      first &&
      call.sentAtMs >= fromMs &&
      call.sentAtMs < untilMs &&
      record.job(call.jobId).plan.flood === flood
    );
  });
}

/** Collects ratios of complete jobs. */
export class Ratios {
  readonly #all = build({ numberOfSignificantValueDigits: 3, autoResize: true });

  readonly #byKind = new Map<string, Histogram>();

  add(record: RunRecord, calls: readonly CallRecord[], clientMs: number): void {
    calls.forEach(({ jobId, answer, answeredAtMs, sentAtMs }) => {
      if (answer?.outcome === 'complete' && answeredAtMs !== null) {
        const { plan } = record.job(jobId);
        const ratio = (answeredAtMs - sentAtMs) / idealMs(plan, clientMs);
        const value = Math.round(ratio * UNIT);
        this.#all.recordValue(value);
        this.#histogramOf(plan.kind).recordValue(value);
      }
    });
  }

  all(): Percentiles | null {
    return Ratios.#percentiles(this.#all);
  }

  byKind(): Readonly<Record<string, Percentiles | null>> {
    return Object.fromEntries(
      [...this.#byKind].sort().map(([kind, each]) => [kind, Ratios.#percentiles(each)]),
    );
  }

  #histogramOf(kind: string): Histogram {
    const known = this.#byKind.get(kind);
    if (known !== undefined) {
      return known;
    }
    const created = build({ numberOfSignificantValueDigits: 3, autoResize: true });
    this.#byKind.set(kind, created);
    return created;
  }

  static #percentiles(histogram: Histogram): Percentiles | null {
    const at = (percentile: number): number => histogram.getValueAtPercentile(percentile) / UNIT;
    return histogram.totalCount === 0
      ? null
      : { jobs: histogram.totalCount, median: at(50), p99: at(99), p999: at(99.9) };
  }
}
