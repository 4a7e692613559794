/** Recent arrival rate of each queue's work, from which upcoming arrivals are forecast. */
import type { Demand } from './forecast';

/** Time constant of the moving average of arrivals; long enough to smooth out single jobs. */
const WINDOW_MS = 2000;
/** Maximum number of tasks in the forecast of a queue's arrivals. */
const MAX_FORECAST_TASKS = 200;

interface ArrivalRate {
  /** Average load: thousandths of a core that the arrivals keep busy. */
  cpuMillis: number;
  /** Averages for a single task. */
  taskCpuMillis: number;
  taskMs: number;
  /** Averages for a batch that can still meet its objective: CPU of all tasks, and slack. */
  batchCpuMillis: number;
  slackMs: number;
  atMs: number;
}

/** An average batch of a queue. */
export interface TypicalBatch {
  readonly cpuMillis: number;
  /** Time that it may wait without missing its objective. */
  readonly slackMs: number;
}

/** Weight of a new batch in the averages for a single task. */
const SMOOTHING = 0.1;

/** Arrival rates of one cell, by queue. */
export class Arrivals {
  readonly #rates = new Map<string, ArrivalRate>();

  /**
   * Counts the tasks of a batch that has arrived, whether it is admitted or refused. `slackMs` is
   * the time that it may wait without missing its objective.
   */
  observe(queue: string, demand: Demand, slackMs: number, nowMs: number): void {
    const { tasks, cpuMillis, expectedMs } = demand;
    const batchCpuMillis = tasks * cpuMillis;
    const rate = this.#rates.get(queue) ?? {
      cpuMillis: 0,
      taskCpuMillis: cpuMillis,
      taskMs: expectedMs,
      batchCpuMillis,
      slackMs: Math.max(0, slackMs),
      atMs: nowMs,
    };
    const decay = Math.exp(-(nowMs - rate.atMs) / WINDOW_MS);
    rate.cpuMillis = rate.cpuMillis * decay + (tasks * cpuMillis * expectedMs) / WINDOW_MS;
    rate.taskCpuMillis += SMOOTHING * (cpuMillis - rate.taskCpuMillis);
    rate.taskMs += SMOOTHING * (expectedMs - rate.taskMs);
    if (slackMs > 0) {
      rate.batchCpuMillis += SMOOTHING * (batchCpuMillis - rate.batchCpuMillis);
      rate.slackMs += SMOOTHING * (slackMs - rate.slackMs);
    }
    rate.atMs = nowMs;
    this.#rates.set(queue, rate);
  }

  /** Queues from which work has arrived. */
  queues(): readonly string[] {
    return [...this.#rates.keys()];
  }

  /** An average batch of each queue. */
  typicalBatches(): readonly TypicalBatch[] {
    return [...this.#rates.values()].map(({ batchCpuMillis, slackMs }) => ({
      cpuMillis: batchCpuMillis,
      slackMs,
    }));
  }

  /** Average CPU that the queue's arrivals keep busy. */
  cpuMillisOf(queue: string, nowMs: number): number {
    const rate = this.#rates.get(queue);
    return rate ? rate.cpuMillis * Math.exp(-(nowMs - rate.atMs) / WINDOW_MS) : 0;
  }

  /**
   * Tasks expected to arrive within `horizonMs` and to use at most `limitCpuMillis`; null if none.
   */
  forecast(queue: string, horizonMs: number, limitCpuMillis: number, nowMs: number): Demand | null {
    const rate = this.#rates.get(queue);
    if (!rate || horizonMs <= 0) return null;
    const cpuMillis = Math.min(limitCpuMillis, this.cpuMillisOf(queue, nowMs));
    const tasks = Math.round((cpuMillis * horizonMs) / (rate.taskCpuMillis * rate.taskMs));
    if (tasks <= 0) return null;
    return {
      tasks: Math.min(MAX_FORECAST_TASKS, tasks),
      cpuMillis: rate.taskCpuMillis,
      expectedMs: rate.taskMs,
    };
  }
}
