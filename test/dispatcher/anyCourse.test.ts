/**
 * What must hold for a job whatever its cells answer: nothing runs after its answer, and a refused
 * job has run nothing.
 */
import { describe, it } from 'node:test';
import { install } from '@sinonjs/fake-timers';
import { expect } from 'earl';
import fc from 'fast-check';
import { fakeCell, givenUp, refused, UNREACHABLE, type FakeCell } from './fakeCells';
import {
  DEADLINE_MS,
  JOB_ID,
  JobSimulation,
  LONG_MS,
  LOST_RUNS_END_MS,
  RETURNED,
  step,
} from './jobSimulation';

/** One event in a random course of a job; `pick` selects the batch or cell. */
interface Event {
  readonly afterMs: number;
  readonly kind: string;
  readonly pick: number;
}

const KINDS = [
  'done',
  'failed',
  'refused',
  'not-owner',
  'expired',
  'unreachable',
  'given-up',
  'drained',
  'owner-goes',
  'owner-comes',
  'cancel',
];

const EVENTS = fc.array(
  fc.record({
    afterMs: fc.constantFrom(0, 0, 1, 9, 21, 150, 700, LOST_RUNS_END_MS),
    kind: fc.constantFrom(...KINDS),
    pick: fc.nat({ max: 20 }),
  }),
  { minLength: 1, maxLength: 25 },
);

const STEPS = fc.constantFrom(
  [step(1)],
  [step(3)],
  [step(2), step(3)],
  [step(1), step(2), step(2, [0])],
  [step(2), step(2, [0]), step(1), step(2, [1, 2])],
);

function apply(simulation: JobSimulation, cells: readonly FakeCell[], { kind, pick }: Event): void {
  const open = simulation.cells.sent.filter(({ outcome }) => outcome === null);
  const sent = open[pick % Math.max(1, open.length)];
  const cell = cells[pick % cells.length];
  if (kind === 'done') sent?.answer({ type: 'done' });
  if (kind === 'failed') sent?.answer({ type: 'failed', task: '' });
  if (kind === 'refused') sent?.answer(refused('overloaded'));
  if (kind === 'not-owner') sent?.answer(refused('not-owner'));
  if (kind === 'drained') sent?.answer(RETURNED);
  if (kind === 'expired') sent?.answer(refused('expired'));
  if (kind === 'unreachable') sent?.answer(UNREACHABLE);
  if (kind === 'given-up') sent?.answer(givenUp('deadline'));
  if (kind === 'owner-goes' && cell) cell.isServing = false;
  if (kind === 'owner-comes' && cell)
    Object.assign(cell, { serves: true, token: cell.token + 1000 });
  if (kind === 'cancel') simulation.runner.cancel(JOB_ID);
}

describe('any course of a job', () => {
  // Guards against any state of a task group that misses the end of its job.
  it('leaves no batch running after its answer, and is refused only if no cell accepted it', async () => {
    await fc.assert(
      fc.asyncProperty(STEPS, EVENTS, fc.boolean(), async (steps, events, isLocal) => {
        const clock = install({ toFake: ['setTimeout', 'clearTimeout'] });
        try {
          const cells = [fakeCell('a', { isLocal }), fakeCell('b'), fakeCell('c', { room: 2 })];
          const simulation = new JobSimulation(clock, cells);
          await simulation.submit(steps);
          // eslint-disable-next-line no-restricted-syntax -- one event after the other
          for (const event of events) {
            apply(simulation, cells, event);
            // eslint-disable-next-line no-await-in-loop -- one event after the other
            await simulation.pass(event.afterMs);
          }
          await simulation.pass(LONG_MS);
          const { outcome, answeredAtMs } = simulation;
          const { sent } = simulation.cells;
          expect(outcome === null).toEqual(false);
          expect(answeredAtMs).toBeLessThanOrEqual(DEADLINE_MS);
          expect(sent.every((batch) => batch.outcome !== null)).toEqual(true);
          expect(sent.filter(({ sentAtMs }) => sentAtMs > answeredAtMs)).toEqual([]);
          if (outcome?.type === 'refused') {
            expect(sent.every((batch) => batch.outcome?.type === 'refused')).toEqual(true);
          }
          if (outcome?.type === 'completed') {
            const done = sent.filter((batch) => batch.outcome?.type === 'done');
            const names = new Set(done.flatMap(({ batch }) => batch.tasks.map(({ name }) => name)));
            const tasks = steps.reduce((sum, { taskCount }) => sum + taskCount, 0);
            expect(names.size).toEqual(tasks);
          }
        } finally {
          clock.uninstall();
        }
      }),
      { numRuns: 300, seed: 1 },
    );
  });
});
