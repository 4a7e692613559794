/** How much work each queue has brought lately, so that work of more urgent queues can be foreseen. */
import type { Demand } from './forecast';

/** Time over which arrivals are averaged: long enough for single jobs to even out. */
const WINDOW_MS = 2000;
/** A forecast plays at most this many foreseen tasks. */
const FORESEEN_MAX = 200;

interface Flow {
  /** Work per millisecond: thousandths of a core that the queue keeps busy. */
  cpuMillis: number;
  /** Means of single tasks. */
  taskCpuMillis: number;
  taskMs: number;
  atMs: number;
}

/** Weight of one more job in the means of single tasks. */
const SMOOTHING = 0.1;

/** Arrivals of one cell, by queue. */
export class Arrivals {
  readonly #flows = new Map<string, Flow>();

  /** Takes the tasks of a batch, whether they are served or refused. */
  observe(queue: string, { tasks, cpuMillis, expectedMs }: Demand, nowMs: number): void {
    const flow = this.#flows.get(queue) ?? {
      cpuMillis: 0,
      taskCpuMillis: cpuMillis,
      taskMs: expectedMs,
      atMs: nowMs,
    };
    const decay = Math.exp(-(nowMs - flow.atMs) / WINDOW_MS);
    flow.cpuMillis = flow.cpuMillis * decay + (tasks * cpuMillis * expectedMs) / WINDOW_MS;
    flow.taskCpuMillis += SMOOTHING * (cpuMillis - flow.taskCpuMillis);
    flow.taskMs += SMOOTHING * (expectedMs - flow.taskMs);
    flow.atMs = nowMs;
    this.#flows.set(queue, flow);
  }

  /** Queues that have brought work lately. */
  queues(): readonly string[] {
    return [...this.#flows.keys()];
  }

  /** Processor that the queue's arrivals keep busy. */
  cpuMillisOf(queue: string, nowMs: number): number {
    const flow = this.#flows.get(queue);
    return flow ? flow.cpuMillis * Math.exp(-(nowMs - flow.atMs) / WINDOW_MS) : 0;
  }

  /** Tasks that the queue will bring within `horizonMs`, using at most `limitCpuMillis`. */
  foresee(queue: string, horizonMs: number, limitCpuMillis: number, nowMs: number): Demand | null {
    const flow = this.#flows.get(queue);
    if (!flow || horizonMs <= 0) return null;
    const cpuMillis = Math.min(limitCpuMillis, this.cpuMillisOf(queue, nowMs));
    const tasks = Math.round((cpuMillis * horizonMs) / (flow.taskCpuMillis * flow.taskMs));
    if (tasks <= 0) return null;
    return {
      tasks: Math.min(FORESEEN_MAX, tasks),
      cpuMillis: flow.taskCpuMillis,
      expectedMs: flow.taskMs,
    };
  }
}
