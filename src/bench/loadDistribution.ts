/** Percentiles of a quantity, in a histogram of bounded size. */
import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import type { Percentiles } from './loadTypes';

/** Histograms take whole numbers; quantities are recorded in thousandths. */
const SCALE = 1000;
const SIGNIFICANT_DIGITS = 3;

function histogram(): Histogram {
  return build({
    useWebAssembly: false,
    autoResize: true,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });
}

/** Percentiles of a stream of values. */
export class Distribution {
  readonly #histogram = histogram();

  record(value: number): void {
    this.#histogram.recordValue(Math.max(0, Math.round(value * SCALE)));
  }

  reset(): void {
    this.#histogram.reset();
  }

  percentiles(): Percentiles {
    const at = (percentile: number): number =>
      this.#histogram.totalCount === 0
        ? 0
        : this.#histogram.getValueAtPercentile(percentile) / SCALE;
    return {
      count: this.#histogram.totalCount,
      p50: at(50),
      p90: at(90),
      p99: at(99),
      p999: at(99.9),
      max: at(100),
    };
  }
}
