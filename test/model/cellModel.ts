/**
 * Plays the load of a shape against the real decision logic of one cell, in virtual time. Jobs are
 * drawn from a seed; each is offered whole to the cell, and a refused client may return.
 */
import type { TaskBatch } from '../../src/cells/messages';
import { SeededRandom } from '../../src/bench/random';
import { batchOf, CellSimulation } from '../cells/cellSimulation';
import type { KindShape, LoadShape } from './loadShape';

const SECOND_MS = 1000;
/** Time for the last jobs to end. */
const SETTLE_MS = 4 * SECOND_MS;

/** How the jobs of one kind ended; a client is counted once. */
export interface KindTally {
  jobs: number;
  inTime: number;
  late: number;
  refused: number;
  other: number;
}

/** Tallies of one seed, by kind. */
export type ModelResult = ReadonlyMap<string, KindTally>;

interface ModelJob {
  readonly batch: TaskBatch;
  readonly runsMs: readonly number[];
  readonly arrivedAtMs: number;
  readonly objectiveAtMs: number;
  readonly deadlineAtMs: number;
  readonly kind: KindShape;
  tries: number;
  offerAtMs: number;
}

function normal(random: SeededRandom): number {
  return Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());
}

/** A factor with a mean of 1 whose logarithm has the given standard deviation. */
function logNormal(random: SeededRandom, spread: number): number {
  return Math.exp(spread * normal(random) - (spread * spread) / 2);
}

/** One seed of a load. */
export class CellModel {
  readonly #shape: LoadShape;

  readonly #random: SeededRandom;

  readonly #simulation: CellSimulation;

  readonly #runMsOfTask = new Map<string, number>();

  readonly #jobs: ModelJob[] = [];

  readonly #lastBatch = new Map<ModelJob, string>();

  constructor(shape: LoadShape, seed: number) {
    this.#shape = shape;
    this.#random = new SeededRandom(seed, 'model');
    const { workerCpuMillis: sizes, workerSlowness: slowness } = shape.cell;
    const workers = Array.from({ length: shape.cell.workers }, (_, index) => {
      const worker = CellSimulation.worker(`w${index}`, sizes[index % sizes.length]);
      worker.faults.slowness = slowness[index % slowness.length] ?? 1;
      return worker;
    });
    this.#simulation = new CellSimulation(
      workers,
      0,
      (batch, task) => this.#runMsOfTask.get(task ?? '') ?? batch.estimateMs,
      true,
      undefined,
      shape.cell.policy,
    );
  }

  run(): ModelResult {
    const { seconds } = this.#shape.cell;
    const endMs = seconds * SECOND_MS;
    this.#shape.kinds.forEach((kind) => this.#drawJobs(kind, endMs));
    this.#jobs.sort((left, right) => left.offerAtMs - right.offerAtMs);
    let waiting = [...this.#jobs];
    while (this.#simulation.nowMs < endMs + SETTLE_MS) {
      const { nowMs } = this.#simulation;
      waiting.filter(({ offerAtMs }) => offerAtMs <= nowMs).forEach((job) => this.#offer(job));
      waiting = waiting.filter(({ offerAtMs }) => offerAtMs > nowMs);
      this.#simulation.advance(1);
    }
    return this.#tally();
  }

  #drawJobs(kind: KindShape, endMs: number): void {
    const { wavePeriodMs, waveSwing } = this.#shape.cell;
    const random = this.#random.stream(kind.name);
    const peak = kind.perSecond * (1 + waveSwing);
    let atMs = random.exponential(SECOND_MS / peak);
    while (atMs < endMs) {
      const rate = kind.perSecond * (1 + waveSwing * Math.sin((2 * Math.PI * atMs) / wavePeriodMs));
      if (random.next() * peak < rate) this.#jobs.push(this.#drawJob(kind, atMs, random));
      atMs += random.exponential(SECOND_MS / peak);
    }
  }

  #drawJob(kind: KindShape, atMs: number, random: SeededRandom): ModelJob {
    const { common } = this.#shape;
    const width = Math.round(kind.width * logNormal(random, kind.widthSpread));
    const taskCount = Math.min(kind.maxWidth, Math.max(1, width));
    const cpuMillis = Math.min(
      common.maxCpuMillis,
      Math.round(common.cpuMillis * logNormal(random, common.cpuSpread)),
    );
    const tail = random.next() < common.tailShare ? common.tailFactor : 1;
    const jobMs = kind.runMs * tail * logNormal(random, common.runSpread);
    const runsMs = Array.from(
      { length: taskCount },
      () => jobMs * logNormal(random, common.unevenSpread),
    );
    const objectiveMs = common.slackFactor * Math.max(...runsMs) + common.goalMs;
    const deadlineMs = common.deadlineMs + objectiveMs;
    const shape = { ...batchOf().shape, cpuMillis };
    const batch = batchOf({
      queue: kind.name,
      priority: kind.priority,
      shape,
      taskCount,
      estimateMs: Math.max(1, jobMs * logNormal(random, common.estimateSpread)),
      slackFactor: common.slackFactor,
      goalMs: common.goalMs,
      deadlineInMs: deadlineMs,
    });
    return {
      batch,
      runsMs,
      arrivedAtMs: atMs,
      objectiveAtMs: atMs + objectiveMs,
      deadlineAtMs: atMs + deadlineMs,
      kind,
      tries: 0,
      offerAtMs: atMs,
    };
  }

  #offer(offered: ModelJob): void {
    const job = offered;
    const { nowMs } = this.#simulation;
    const { retries, returnMs } = this.#shape.cell;
    job.tries += 1;
    const batchId = `${job.batch.batchId}-${job.tries}`;
    job.batch.tasks.forEach(({ name }, index) =>
      this.#runMsOfTask.set(name, job.runsMs[index] ?? 0),
    );
    const deadlineInMs = job.deadlineAtMs - nowMs;
    const record = this.#simulation.offer({
      ...job.batch,
      batchId,
      deadlineInMs,
      acceptsLate: true,
    });
    this.#lastBatch.set(job, batchId);
    const returnAtMs = nowMs + returnMs * (0.8 + 0.4 * this.#random.next());
    const returns = job.tries <= retries && returnAtMs < job.deadlineAtMs;
    if (record.outcome?.type === 'refused' && returns) {
      job.offerAtMs = returnAtMs;
    }
  }

  #tally(): ModelResult {
    const tallies = new Map<string, KindTally>();
    this.#jobs.forEach((job) => {
      const tally = tallies.get(job.kind.name) ?? {
        jobs: 0,
        inTime: 0,
        late: 0,
        refused: 0,
        other: 0,
      };
      tallies.set(job.kind.name, tally);
      tally.jobs += 1;
      const record = this.#simulation.records.get(this.#lastBatch.get(job) ?? '');
      const type = record?.outcome?.type;
      if (type === 'refused') tally.refused += 1;
      else if (type !== 'done') tally.other += 1;
      else if ((record?.endedAtMs ?? Infinity) <= job.objectiveAtMs) tally.inTime += 1;
      else tally.late += 1;
    });
    return tallies;
  }
}

/** Value that was earned by the shares of all kinds, between 0 and 1. */
export function earnedShare(shape: LoadShape, result: ModelResult): number {
  const LATE_VALUE = 0.2;
  let earned = 0;
  let owed = 0;
  shape.kinds.forEach(({ name, weight }) => {
    const tally = result.get(name);
    if (!tally) return;
    earned += weight * (tally.inTime + LATE_VALUE * tally.late);
    owed += weight * tally.jobs;
  });
  return owed > 0 ? earned / owed : 1;
}
