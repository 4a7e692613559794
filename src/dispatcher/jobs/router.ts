/**
 * Chooses cells for the tasks of a step: a cell in this host's failure domain if one has room for
 * all tasks, else the least loaded other cell with room for all, else several cells, balanced by
 * load.
 */
import type { CellSummary } from '../../cells/messages';
import type { RandomSource } from '../../core/clock';

/** The tasks assigned to one cell, as indexes into the tasks of the step. */
export interface CellAssignment {
  readonly cell: string;
  readonly taskIndexes: readonly number[];
}

/** Last known loads of the cells. Tasks sent by this host count before the owners report them. */
export class CellLoads {
  readonly #summaries = new Map<string, CellSummary>();

  set(summary: CellSummary): void {
    this.#summaries.set(summary.cell, summary);
  }

  get(cell: string): CellSummary | undefined {
    return this.#summaries.get(cell);
  }

  remove(cell: string): void {
    this.#summaries.delete(cell);
  }

  /** Adds tasks that were sent to a cell to its load. */
  reserve(cell: string, tasks: number, cpuMillis: number, estimateMs: number): void {
    const summary = this.#summaries.get(cell);
    if (!summary) return;
    const free = [...summary.freeCpuMillis].sort((left, right) => right - left);
    let queued = 0;
    for (let count = 0; count < tasks; count += 1) {
      const index = free.findIndex((cpu) => cpu >= cpuMillis);
      if (index >= 0) free[index] = (free[index] ?? 0) - cpuMillis;
      else queued += cpuMillis * estimateMs;
    }
    const queuedCpuMillisMs = summary.queuedCpuMillisMs + queued;
    this.#summaries.set(cell, { ...summary, freeCpuMillis: free, queuedCpuMillisMs });
  }
}

/**
 * Load of a cell in this host's own domain is scaled by this, to prefer it over slightly less
 * loaded ones.
 */
const OWN_DOMAIN_LOAD_FACTOR = 0.9;

/** Number of tasks of the given size that the cell can start now. */
export function roomFor(summary: CellSummary, cpuMillis: number): number {
  if (summary.queuedCpuMillisMs > 0) return 0;
  return summary.freeCpuMillis.reduce((sum, cpu) => sum + Math.floor(cpu / cpuMillis), 0);
}

/** Time that the whole cell needs for the work ahead of a new task. */
function loadOf(summary: CellSummary, addedCpuMillis: number, estimateMs: number): number {
  const free = summary.freeCpuMillis.reduce((sum, cpu) => sum + cpu, 0);
  const busy = summary.capacityCpuMillis - free + addedCpuMillis;
  const work = busy * estimateMs + summary.queuedCpuMillisMs;
  return work / Math.max(1, summary.capacityCpuMillis);
}

/** Number and size of the tasks of one step; all tasks of a step are alike. */
export interface StepDemand {
  readonly tasks: number;
  readonly cpuMillis: number;
  readonly estimateMs: number;
}

/** Cells with workers, least loaded first. */
export function byLoad(
  summaries: readonly CellSummary[],
  ownDomainCells: ReadonlySet<string>,
  estimateMs: number,
): readonly CellSummary[] {
  const weightedLoad = (summary: CellSummary) =>
    loadOf(summary, 0, estimateMs) *
    (ownDomainCells.has(summary.cell) ? OWN_DOMAIN_LOAD_FACTOR : 1);
  return [...summaries]
    .filter(({ capacityCpuMillis }) => capacityCpuMillis > 0)
    .sort((left, right) => weightedLoad(left) - weightedLoad(right));
}

/**
 * Picks a cell at random, weighted by its room. Other hosts choose from the same figures at the
 * same time, and without randomness all of them would pick the cell with the most room.
 */
function chooseByRoom(
  cells: readonly CellSummary[],
  cpuMillis: number,
  random: RandomSource,
): CellSummary | null {
  if (cells.length <= 1) return cells[0] ?? null;
  const rooms = cells.map((summary) => roomFor(summary, cpuMillis));
  let point = random.next() * rooms.reduce((sum, room) => sum + room, 0);
  const index = rooms.findIndex((room) => {
    point -= room;
    return point < 0;
  });
  return cells[index] ?? cells[0] ?? null;
}

/**
 * Assigns tasks to cells by the number that each can take: all to the first cell with room for all,
 * else to as few cells as possible. Null if there is too little room.
 */
export function assignByRoom(
  rooms: readonly { readonly cell: string; readonly tasks: number }[],
  tasks: number,
): readonly CellAssignment[] | null {
  const indexes = Array.from({ length: tasks }, (_, index) => index);
  const whole = rooms.find((room) => room.tasks >= tasks);
  if (whole) return [{ cell: whole.cell, taskIndexes: indexes }];
  const byRoom = [...rooms].sort((left, right) => right.tasks - left.tasks);
  const assignments: CellAssignment[] = [];
  let assigned = 0;
  byRoom.forEach((room) => {
    const taskIndexes = indexes.slice(assigned, assigned + room.tasks);
    if (taskIndexes.length === 0) return;
    assigned += taskIndexes.length;
    assignments.push({ cell: room.cell, taskIndexes });
  });
  return assigned === tasks ? assignments : null;
}

/** Distributes the tasks of a step over cells; empty if no cell has workers. */
export function spreadTasks(
  summaries: readonly CellSummary[],
  ownDomainCells: ReadonlySet<string>,
  { tasks, cpuMillis, estimateMs }: StepDemand,
  random: RandomSource,
): readonly CellAssignment[] {
  const cells = byLoad(summaries, ownDomainCells, estimateMs);
  const indexes = Array.from({ length: tasks }, (_, index) => index);
  const cellsWithRoom = cells.filter((summary) => roomFor(summary, cpuMillis) >= tasks);
  const inOwnDomain = cellsWithRoom.filter(({ cell }) => ownDomainCells.has(cell));
  const chosen = chooseByRoom(
    inOwnDomain.length > 0 ? inOwnDomain : cellsWithRoom.slice(0, 1),
    cpuMillis,
    random,
  );
  if (chosen) return [{ cell: chosen.cell, taskIndexes: indexes }];
  const assigned = new Map(cells.map((summary) => [summary, [] as number[]]));
  indexes.forEach((index) => {
    let best: CellSummary | null = null;
    let bestLoad = Infinity;
    assigned.forEach((cellIndexes, summary) => {
      const load = loadOf(summary, cellIndexes.length * cpuMillis, estimateMs);
      if (load >= bestLoad) return;
      best = summary;
      bestLoad = load;
    });
    if (best) assigned.get(best)?.push(index);
  });
  return [...assigned]
    .filter(([, cellIndexes]) => cellIndexes.length > 0)
    .map(([{ cell }, taskIndexes]) => ({ cell, taskIndexes }));
}
