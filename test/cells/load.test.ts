/**
 * Tests of a cell under ordinary load and overload. The bounds follow from the stated aims: a flood
 * of one queue leaves the other queues their demand within their share, and work that cannot be
 * served in time is refused on arrival.
 */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { batchOf, CellSimulation } from './cellSimulation';

const WORKERS = 11;
const SECOND_MS = 1000;

/** Batches per second by queue in one failure domain on an ordinary day; 0.84 of the capacity. */
const ORDINARY = { unlock: 21, settle: 1.5, check: 23 } as const;

/** Large urgent jobs are spread over three cells, so that each receives a part of three tasks. */
const KINDS = {
  unlock: { queue: 'unlock', priority: 0, estimateMs: 60, taskCount: 3, deadlineInMs: 1970 },
  check: { queue: 'check', priority: 1, estimateMs: 200, taskCount: 2, deadlineInMs: 2640 },
  settle: { queue: 'settle', priority: 2, estimateMs: 900, taskCount: 4, deadlineInMs: 6000 },
} as const;

/** Demand of queue `check` divided by its share, a third of the cell. */
const CHECK_OVER_SHARE = 1.25;

type Kind = keyof typeof KINDS;

/** Offers batches at even intervals; `rates` is in batches per second by kind. */
function applyLoad(
  simulation: CellSimulation,
  rates: Readonly<Record<Kind, number>>,
  durationMs: number,
): void {
  const kinds = Object.keys(rates) as Kind[];
  const credit = new Map<Kind, number>(kinds.map((kind) => [kind, 0]));
  for (let ms = 0; ms < durationMs; ms += 1) {
    kinds.forEach((kind) => {
      const due = (credit.get(kind) ?? 0) + rates[kind] / SECOND_MS;
      credit.set(kind, due >= 1 ? due - 1 : due);
      if (due >= 1) simulation.offer(batchOf(KINDS[kind]));
    });
    simulation.advance(1);
  }
  simulation.advance(4 * SECOND_MS);
}

describe('a cell under load', () => {
  it('ordinary load: ends nearly all batches in time', () => {
    const simulation = CellSimulation.withWorkers(WORKERS);
    applyLoad(simulation, ORDINARY, 10 * SECOND_MS);
    (['unlock', 'check', 'settle'] as const).forEach((queue) => {
      const { inTime, all } = simulation.tally(queue);
      expect(inTime / all).toBeGreaterThanOrEqual(0.97);
    });
  });

  it('flood of the least urgent kind: 0.97 of the other work within its share ends in time', () => {
    const simulation = CellSimulation.withWorkers(WORKERS);
    applyLoad(simulation, { ...ORDINARY, settle: 6 * ORDINARY.settle }, 10 * SECOND_MS);
    const unlock = simulation.tally('unlock');
    expect(unlock.inTime / unlock.all).toBeGreaterThanOrEqual(0.97);
    const check = simulation.tally('check');
    expect(check.inTime / check.all).toBeGreaterThanOrEqual(0.97 / CHECK_OVER_SHARE);
    const settle = simulation.tally('settle');
    expect(settle.refused).toBeGreaterThan(0);
    expect(settle.inTime).toBeGreaterThan(settle.late);
  });

  it('flood of the most urgent kind: the least urgent kind keeps its share', () => {
    const simulation = CellSimulation.withWorkers(WORKERS);
    applyLoad(simulation, { ...ORDINARY, unlock: 8 * ORDINARY.unlock }, 10 * SECOND_MS);
    const { inTime, all } = simulation.tally('settle');
    expect(inTime / all).toBeGreaterThanOrEqual(0.97);
  });

  it('mixed task sizes: no room is left unused while a waiting task would fit', () => {
    const simulation = CellSimulation.withWorkers(WORKERS);
    const shapeOf = (cpuMillis: number) => ({ ...batchOf().shape, cpuMillis });
    const large = { ...KINDS.settle, taskCount: 4, shape: shapeOf(40_000), begun: true };
    Array.from({ length: 6 }, () => simulation.offer(batchOf({ ...large, goalMs: 9000 })));
    const small = {
      ...large,
      estimateMs: 200,
      taskCount: WORKERS - 1,
      shape: shapeOf(22_000),
      goalMs: 20_000,
      deadlineInMs: 40_000,
    };
    const records = [simulation.offer(batchOf(small))];
    simulation.advance(1.5 * small.estimateMs);
    expect(records.map(({ outcome }) => outcome?.type)).toEqual(['done']);
  });

  it('flood: batches are refused on arrival, not after waiting', () => {
    const simulation = CellSimulation.withWorkers(WORKERS);
    applyLoad(simulation, { ...ORDINARY, settle: 6 * ORDINARY.settle }, 10 * SECOND_MS);
    const refused = [...simulation.records.values()].filter(
      ({ outcome }) => outcome?.type === 'refused',
    );
    const atOnce = refused.filter((record) => record.endedAtMs === record.offeredAtMs);
    expect(atOnce.length / refused.length).toBeGreaterThanOrEqual(0.95);
  });
});
