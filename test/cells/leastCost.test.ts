/**
 * Overload policy "least cost": what is delayed or turned away costs callers least. Each test names
 * the load that it answers. The bounds follow from what callers need: the urgent first, an answer
 * of use rather than none, and a share for every queue.
 */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { TaskBatch } from '../../src/cells/messages';
import { OverloadPolicyName } from '../../src/cells/overloadPolicy';
import { reserveShortfall } from '../../src/cells/reserve';
import { batchOf, CellSimulation } from './cellSimulation';

const SECOND_MS = 1000;

const KINDS = {
  urgent: { queue: 'urgent', priority: 0, estimateMs: 60, taskCount: 3, deadlineInMs: 2000 },
  lookup: { queue: 'lookup', priority: 1, estimateMs: 200, taskCount: 2, deadlineInMs: 2600 },
  redraw: { queue: 'redraw', priority: 2, estimateMs: 900, taskCount: 4, deadlineInMs: 6000 },
} as const;
type Kind = keyof typeof KINDS;

/** Jobs per second, each within a third of a cell of 20 workers, which runs 40 tasks at once. */
const RATES: Readonly<Record<Kind, number>> = { urgent: 27, lookup: 24, redraw: 3.5 };

function cellOf(workers: number, policy: OverloadPolicyName): CellSimulation {
  const entries = Array.from({ length: workers }, (_, index) => CellSimulation.worker(`w${index}`));
  return new CellSimulation(entries, 0, undefined, true, undefined, policy);
}

function offer(simulation: CellSimulation, overrides: Parameters<typeof batchOf>[0]) {
  return simulation.offer(batchOf({ ...overrides, acceptsLate: true }));
}

/** Offers the jobs of each kind at even intervals, with a burst of one kind from 1 s to 4 s. */
function playBurst(policy: OverloadPolicyName, burst: Kind, factor: number): CellSimulation {
  const simulation = cellOf(20, policy);
  const kinds = Object.keys(KINDS) as Kind[];
  const due = new Map<Kind, number>(kinds.map((kind, index) => [kind, index * 5]));
  while (simulation.nowMs < 6 * SECOND_MS) {
    const isBurst = simulation.nowMs >= SECOND_MS && simulation.nowMs < 4 * SECOND_MS;
    kinds.forEach((kind) => {
      const atMs = due.get(kind) ?? 0;
      if (simulation.nowMs < atMs) return;
      const rate = RATES[kind] * (kind === burst && isBurst ? factor : 1);
      due.set(kind, atMs + SECOND_MS / rate);
      offer(simulation, KINDS[kind]);
    });
    simulation.advance(1);
  }
  simulation.advance(5 * SECOND_MS);
  return simulation;
}

function servedShare(simulation: CellSimulation, kind: Kind): number {
  const { inTime, late, all } = simulation.tally(kind);
  return (inTime + late) / all;
}

function shareInTime(simulation: CellSimulation, kind: Kind): number {
  const { inTime, all } = simulation.tally(kind);
  return inTime / all;
}

/** The decisions of a name that concern a batch. */
function decisionsOn(simulation: CellSimulation, name: string, { batchId }: TaskBatch): number {
  return simulation.decisions.filter(
    ({ decision, fields }) => decision === name && fields.batchId === batchId,
  ).length;
}

describe('the least-cost policy under a burst of the largest kind', () => {
  // Guards against jobs that are refused although their callers would still have used an answer.
  it('serves late what equal shares refuses', () => {
    const before = playBurst(OverloadPolicyName.equalShares, 'redraw', 2.3);
    const after = playBurst(OverloadPolicyName.leastCost, 'redraw', 2.3);
    const refused = (simulation: CellSimulation) =>
      (Object.keys(KINDS) as Kind[]).reduce((sum, kind) => sum + simulation.tally(kind).refused, 0);
    expect(refused(before)).toBeGreaterThan(0);
    expect(refused(after)).toBeLessThanOrEqual(refused(before) / 2);
  });

  // Guards against late jobs that take the room of jobs that could be in time.
  it('serves as many of the more urgent jobs in time', () => {
    const before = playBurst(OverloadPolicyName.equalShares, 'redraw', 2.3);
    const after = playBurst(OverloadPolicyName.leastCost, 'redraw', 2.3);
    (['urgent', 'lookup'] as const).forEach((kind) => {
      expect(shareInTime(after, kind)).toBeGreaterThanOrEqual(shareInTime(before, kind) - 0.01);
    });
  });
});

describe('the least-cost policy under a flood', () => {
  // Guards against a flood of one kind, the most urgent too, that leaves the others no share.
  it('leaves each other kind its demand within its share', () => {
    (['urgent', 'lookup', 'redraw'] as const).forEach((flood) => {
      const simulation = playBurst(OverloadPolicyName.leastCost, flood, 8);
      (Object.keys(KINDS) as Kind[]).forEach((kind) => {
        if (kind !== flood) expect(servedShare(simulation, kind)).toBeGreaterThanOrEqual(0.9);
      });
    });
  });
});

describe('a batch that no cell can serve in time', () => {
  const longRun = { queue: 'redraw', priority: 2, estimateMs: 300, goalMs: 600 };

  // Guards against a refusal of what can be served before its answer is of no use.
  it('is served late if it ends while its answer is of use', () => {
    const simulation = cellOf(1, OverloadPolicyName.leastCost);
    offer(simulation, { ...longRun, taskCount: 2 });
    const { batch } = offer(simulation, { queue: 'lookup', priority: 1, deadlineInMs: 2000 });
    expect(decisionsOn(simulation, 'batch-delayed', batch)).toEqual(1);
    simulation.advance(SECOND_MS);
    const record = simulation.records.get(batch.batchId);
    expect(record?.outcome).toEqual({ type: 'done' });
    expect(record?.endedAtMs ?? 0).toBeGreaterThan(record?.objectiveAtMs ?? Infinity);
  });

  // Guards against a caller that waits for nothing: what can't be served is known on arrival.
  it('is refused at once if it would end too late to be of use', () => {
    const simulation = cellOf(1, OverloadPolicyName.leastCost);
    for (let count = 0; count < 6; count += 1) offer(simulation, { ...longRun, taskCount: 2 });
    const late = offer(simulation, { queue: 'lookup', priority: 3, deadlineInMs: 2000 });
    expect(late.outcome?.type).toEqual('refused');
    expect(late.endedAtMs).toEqual(simulation.nowMs);
  });

  // Guards against late service that nobody has asked other cells about: these may have room.
  it('is refused first, so that its submitter asks the other cells', () => {
    const simulation = cellOf(1, OverloadPolicyName.leastCost);
    offer(simulation, { ...longRun, taskCount: 2 });
    const job = { queue: 'lookup', priority: 1, deadlineInMs: 2000 };
    expect(simulation.offer(batchOf(job)).outcome?.type).toEqual('refused');
    expect(simulation.cell.roomFor(batchOf(job), 0).lateEndInMs).not.toEqual(undefined);
  });

  // Guards against a change for deployments that have not chosen the policy.
  it('is refused under equal shares, whatever its submitter accepts', () => {
    const simulation = cellOf(1, OverloadPolicyName.equalShares);
    offer(simulation, { ...longRun, taskCount: 2 });
    const job = { queue: 'lookup', priority: 1, deadlineInMs: 2000 };
    expect(offer(simulation, job).outcome?.type).toEqual('refused');
    expect(simulation.cell.roomFor(batchOf(job), 0).lateEndInMs).toEqual(undefined);
  });
});

describe('a delayed batch that waits', () => {
  // Guards against work that waits behind late jobs: an arrival that can be in time goes first.
  it('gives its place to a later one that can be in time', () => {
    const simulation = cellOf(1, OverloadPolicyName.leastCost);
    offer(simulation, { queue: 'redraw', estimateMs: 300, goalMs: 600, taskCount: 2 });
    const delayed = offer(simulation, { queue: 'lookup', priority: 1, taskCount: 2 });
    simulation.advance(250);
    const urgent = offer(simulation, { queue: 'urgent', priority: 0, taskCount: 2 });
    simulation.advance(SECOND_MS);
    expect(urgent.endedAtMs).toBeLessThanOrEqual(urgent.objectiveAtMs);
    expect(delayed.outcome?.type).toEqual('done');
    expect(urgent.endedAtMs).toBeLessThan(delayed.endedAtMs);
  });

  // Guards against a refusal that comes only when the last useful start has passed.
  it('is refused, as not run, as soon as it would end too late', () => {
    const simulation = cellOf(1, OverloadPolicyName.leastCost);
    offer(simulation, { queue: 'redraw', estimateMs: 300, goalMs: 600, taskCount: 2 });
    const delayed = offer(simulation, { queue: 'lookup', priority: 1, deadlineInMs: 2000 });
    expect(delayed.outcome).toEqual(null);
    for (let count = 0; count < 8; count += 1) {
      offer(simulation, { queue: `q${count}`, priority: 0, goalMs: 800, taskCount: 2 });
    }
    simulation.advance(100);
    expect(delayed.outcome?.type).toEqual('refused');
    expect(simulation.starts.some(({ task }) => task.startsWith(delayed.batch.jobId))).toEqual(
      false,
    );
  });
});

describe('wide and narrow jobs under a steady overload', () => {
  // Guards against wide jobs that never find room for all their tasks among narrow ones.
  it('serves wide jobs at least half as often as the whole kind', () => {
    const simulation = cellOf(20, OverloadPolicyName.leastCost);
    const wide: string[] = [];
    for (let job = 0; simulation.nowMs < 6 * SECOND_MS; job += 1) {
      const isWide = job % 10 === 0;
      const taskCount = isWide ? 8 : 2;
      const { batch } = offer(simulation, { ...KINDS.lookup, taskCount });
      if (isWide) wide.push(batch.batchId);
      simulation.advance(12);
    }
    simulation.advance(3 * SECOND_MS);
    const served = wide.filter((id) => simulation.records.get(id)?.outcome?.type === 'done');
    const share = servedShare(simulation, 'lookup');
    expect(share).toBeLessThan(1);
    expect(served.length / wide.length).toBeGreaterThanOrEqual(share / 2);
  });
});

describe('the room that least cost leaves free', () => {
  const urgent = { cpuMillis: 4 * 27_000, slackMs: 90 };
  const fullCell = (workers: number, estimateMs: number): CellSimulation => {
    const simulation = cellOf(workers, OverloadPolicyName.leastCost);
    const job = { queue: 'lookup', priority: 1, estimateMs, goalMs: 60_000, deadlineInMs: 90_000 };
    for (let count = 0; count < workers; count += 1) {
      offer(simulation, { ...job, taskCount: 2 });
      simulation.advance(estimateMs / workers / 2);
    }
    return simulation;
  };
  const shortfallOf = ({ cell, nowMs }: CellSimulation) =>
    reserveShortfall([urgent], [...cell.workers.values()], nowMs);

  // Guards against places that stand idle while jobs are refused, although runs end often enough.
  it('is none in a large cell of short runs', () => {
    expect(shortfallOf(fullCell(60, 200))).toEqual(0);
  });

  // Guards against a wide urgent job that finds no room because long runs end too rarely.
  it('is what a wide urgent job would lack among long runs', () => {
    expect(shortfallOf(fullCell(10, 3000))).toBeGreaterThanOrEqual(urgent.cpuMillis);
  });
});
