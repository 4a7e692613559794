/**
 * Loads beyond what a cell can take, each named after the pattern that it stands for. The bounds come
 * from the stated aims: a flood of one queue leaves the others what they bring within their share, and
 * what can't be served in time is refused on arrival.
 */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { batchOf, CellSimulation } from './cellSimulation';

const WORKERS = 11;
const SECOND_MS = 1000;

/** Batches per second of each queue, as in one failure domain on an ordinary day: 0.84 of the cell. */
const ORDINARY = { unlock: 21, settle: 1.5, check: 23 } as const;

/** Large urgent jobs are spread over three cells, so that each sees a part of three tasks. */
const KINDS = {
  unlock: { queue: 'unlock', priority: 0, estimateMs: 60, taskCount: 3, deadlineInMs: 1970 },
  check: { queue: 'check', priority: 1, estimateMs: 200, taskCount: 2, deadlineInMs: 2640 },
  settle: { queue: 'settle', priority: 2, estimateMs: 900, taskCount: 4, deadlineInMs: 6000 },
} as const;

/** What the checks bring, over the third of the cell that is their share. */
const CHECK_OVER_SHARE = 1.25;

type Kind = keyof typeof KINDS;

/** Offers batches at even intervals; `rates` gives batches per second by kind. */
function play(
  world: CellSimulation,
  rates: Readonly<Record<Kind, number>>,
  durationMs: number,
): void {
  const kinds = Object.keys(rates) as Kind[];
  const credit = new Map<Kind, number>(kinds.map((kind) => [kind, 0]));
  for (let ms = 0; ms < durationMs; ms += 1) {
    kinds.forEach((kind) => {
      const due = (credit.get(kind) ?? 0) + rates[kind] / SECOND_MS;
      credit.set(kind, due >= 1 ? due - 1 : due);
      if (due >= 1) world.offer(batchOf(KINDS[kind]));
    });
    world.advance(1);
  }
  world.advance(4 * SECOND_MS);
}

describe('a cell under load', () => {
  it('ordinary day: serves nearly all in time and refuses nothing', () => {
    const world = CellSimulation.withWorkers(WORKERS);
    play(world, ORDINARY, 10 * SECOND_MS);
    (['unlock', 'check', 'settle'] as const).forEach((queue) => {
      const { inTime, all } = world.tally(queue);
      expect(inTime / all).toBeGreaterThanOrEqual(0.97);
    });
  });

  it('flood of the least urgent kind: the others keep 0.97 of what lies within their share', () => {
    const world = CellSimulation.withWorkers(WORKERS);
    play(world, { ...ORDINARY, settle: 6 * ORDINARY.settle }, 10 * SECOND_MS);
    const unlock = world.tally('unlock');
    expect(unlock.inTime / unlock.all).toBeGreaterThanOrEqual(0.97);
    const check = world.tally('check');
    expect(check.inTime / check.all).toBeGreaterThanOrEqual(0.97 / CHECK_OVER_SHARE);
    const settle = world.tally('settle');
    expect(settle.refused).toBeGreaterThan(0);
    expect(settle.inTime).toBeGreaterThan(settle.late);
  });

  it('flood of the most urgent kind: the least urgent kind keeps its share', () => {
    const world = CellSimulation.withWorkers(WORKERS);
    play(world, { ...ORDINARY, unlock: 8 * ORDINARY.unlock }, 10 * SECOND_MS);
    const { inTime, all } = world.tally('settle');
    expect(inTime / all).toBeGreaterThanOrEqual(0.97);
  });

  it('several sizes of tasks: no room is left unused while tasks that would fit wait', () => {
    const world = CellSimulation.withWorkers(WORKERS);
    const shapeOf = (cpuMillis: number) => ({ ...batchOf().shape, cpuMillis });
    const large = { ...KINDS.settle, taskCount: 4, shape: shapeOf(40_000), begun: true };
    Array.from({ length: 6 }, () => world.offer(batchOf({ ...large, goalMs: 9000 })));
    const small = {
      ...large,
      estimateMs: 200,
      taskCount: WORKERS - 1,
      shape: shapeOf(22_000),
      goalMs: 20_000,
      deadlineInMs: 40_000,
    };
    const records = [world.offer(batchOf(small))];
    world.advance(1.5 * small.estimateMs);
    expect(records.map(({ outcome }) => outcome?.type)).toEqual(['done']);
  });

  it('flood: what is refused is refused on arrival, not after a wait', () => {
    const world = CellSimulation.withWorkers(WORKERS);
    play(world, { ...ORDINARY, settle: 6 * ORDINARY.settle }, 10 * SECOND_MS);
    const refused = [...world.records.values()].filter(
      ({ outcome }) => outcome?.type === 'refused',
    );
    const atOnce = refused.filter((record) => record.endedAtMs === record.offeredAtMs);
    expect(atOnce.length / refused.length).toBeGreaterThanOrEqual(0.95);
  });
});
