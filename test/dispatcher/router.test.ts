/** Assignment of the tasks of a step to cells. */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { CellSummary } from '../../src/cells/messages';
import {
  CellLoads,
  roomFor,
  spreadTasks,
  type CellAssignment,
} from '../../src/dispatcher/jobs/router';

const CPU = 27_000;

function cell(name: string, freeSlots: number, queued = 0): CellSummary {
  return {
    cell: name,
    freeCpuMillis: Array.from({ length: 10 }, (_, index) => (index < freeSlots ? 30_000 : 1000)),
    capacityCpuMillis: 640_000,
    queuedCpuMillisMs: queued,
  };
}

const HOME = new Set(['home', 'home.2']);

function spreadFromHome(
  summaries: readonly CellSummary[],
  tasks: number,
  random = { next: () => 0.5 },
): readonly CellAssignment[] {
  return spreadTasks(summaries, HOME, { tasks, cpuMillis: CPU, estimateMs: 100 }, random);
}

function sizes(summaries: readonly CellSummary[], tasks: number): Record<string, number> {
  const shares = spreadFromHome(summaries, tasks);
  return Object.fromEntries(shares.map((share) => [share.cell, share.taskIndexes.length]));
}

describe('assigning a step to cells', () => {
  it('keeps it in its own domain while it fits there', () => {
    expect(sizes([cell('home', 4), cell('far', 10)], 4)).toEqual({ home: 4 });
  });

  it('chooses among cells of its own domain in proportion to their room', () => {
    const cells = [cell('home', 8), cell('home.2', 2), cell('far', 10)];
    const chosen = [0.1, 0.3, 0.5, 0.7, 0.9].map(
      (point) => spreadFromHome(cells, 2, { next: () => point })[0]?.cell,
    );
    expect(chosen).toEqual(['home', 'home', 'home', 'home', 'home.2']);
  });

  it('sends it whole to another cell with room', () => {
    expect(sizes([cell('home', 1), cell('far', 10)], 4)).toEqual({ far: 4 });
  });

  it('splits a step that fits in no single cell, with each task once', () => {
    const shares = spreadFromHome([cell('home', 5), cell('far', 5)], 9);
    const indexes = shares.flatMap(({ taskIndexes }) => taskIndexes).sort((a, b) => a - b);
    expect(indexes).toEqual([0, 1, 2, 3, 4, 5, 6, 7, 8]);
    expect(shares.length).toEqual(2);
  });

  it('excludes cells without workers', () => {
    const empty = { ...cell('empty', 0), freeCpuMillis: [], capacityCpuMillis: 0 };
    expect(sizes([empty, cell('far', 2)], 6)).toEqual({ far: 6 });
    expect(spreadFromHome([empty], 1)).toEqual([]);
  });

  it('ignores free capacity that is too small for a task', () => {
    expect(roomFor(cell('home', 3), CPU)).toEqual(3);
    expect(roomFor(cell('home', 3, 1), CPU)).toEqual(0);
  });

  it('counts tasks of this host before the owner reports them', () => {
    const loads = new CellLoads();
    loads.set(cell('home', 3));
    loads.reserve('home', 2, CPU, 100);
    expect(roomFor(loads.get('home') ?? cell('home', 0), CPU)).toEqual(1);
    loads.reserve('home', 2, CPU, 100);
    expect(loads.get('home')?.queuedCpuMillisMs).toEqual(CPU * 100);
  });
});
