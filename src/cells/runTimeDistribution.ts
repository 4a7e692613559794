/**
 * Distribution of the run times of a queue's tasks, as a decaying histogram on a logarithmic scale,
 * and the typical error of the declared estimates. Together they say what to expect of a task for
 * which an estimate is declared: estimates near the bulk are drawn towards it, and one that is far
 * above it is believed, because a part of the tasks does take that long. Rare long tasks therefore
 * do not raise what is expected of the others. The state of a distribution is bounded.
 */

/** Ratio of the bounds of a bin. */
const BIN_RATIO = 1.25;
/** Bins from 1 ms to about 10 minutes. */
const BINS = 60;
/** Weight that a new sample takes from all earlier ones. */
const SAMPLE_WEIGHT = 0.004;
/** Weight of run times that have not been observed, over all bins. */
const UNSEEN_WEIGHT = 0.03;
/** Error of a declared estimate before any is known, as a standard deviation of the logarithm. */
const INITIAL_ERROR = 0.4;
const MIN_ERROR = 0.1;
const MAX_ERROR = 1;
/** Weight of a new sample in the moving average of the error. */
const ERROR_SMOOTHING = 0.01;
/** Errors beyond this count as this; the logarithm of about 4.5. */
const MAX_COUNTED_ERROR = 1.5;

function binOf(logMs: number): number {
  return Math.min(BINS - 1, Math.max(0, Math.floor(logMs / Math.log(BIN_RATIO))));
}

function centreOf(bin: number): number {
  return (bin + 0.5) * Math.log(BIN_RATIO);
}

/** Run times of one queue. */
export class RunTimeDistribution {
  readonly #weights = new Array<number>(BINS).fill(0);

  /** Mean logarithm of the run times in each bin. */
  readonly #logMeans = Array.from({ length: BINS }, (_, bin) => centreOf(bin));

  #errorVariance = INITIAL_ERROR ** 2;

  #samples = 0;

  get samples(): number {
    return this.#samples;
  }

  /** Adds the run time of a task for which `declaredMs` was declared. */
  add(runTimeMs: number, declaredMs: number): void {
    const logMs = Math.log(Math.max(1, runTimeMs));
    this.#samples += 1;
    const weight = Math.max(SAMPLE_WEIGHT, 1 / this.#samples);
    this.#weights.forEach((_, bin) => {
      this.#weights[bin] = (this.#weights[bin] ?? 0) * (1 - weight);
    });
    const bin = binOf(logMs);
    const binWeight = (this.#weights[bin] ?? 0) + weight;
    this.#weights[bin] = binWeight;
    const logMean = this.#logMeans[bin] ?? logMs;
    this.#logMeans[bin] = logMean + (weight / binWeight) * (logMs - logMean);
    const error = Math.min(MAX_COUNTED_ERROR, Math.abs(logMs - Math.log(Math.max(1, declaredMs))));
    this.#errorVariance += ERROR_SMOOTHING * (error ** 2 - this.#errorVariance);
  }

  /** Expected run time of a task for which `declaredMs` is declared. */
  expectedMs(declaredMs: number): number {
    const logDeclared = Math.log(Math.max(1, declaredMs));
    const error = Math.min(MAX_ERROR, Math.max(MIN_ERROR, Math.sqrt(this.#errorVariance)));
    let total = 0;
    let sum = 0;
    this.#weights.forEach((weight, bin) => {
      const logMs = this.#logMeans[bin] ?? centreOf(bin);
      const deviation = (logMs - logDeclared) / error;
      const likelihood = (weight + UNSEEN_WEIGHT / BINS) * Math.exp(-(deviation ** 2) / 2);
      total += likelihood;
      sum += likelihood * logMs;
    });
    return total > 0 ? Math.exp(sum / total) : Math.max(1, declaredMs);
  }
}
