/** Starts that the network delivers after their worker has restarted, in virtual time. */
import { describe, it, type TestContext } from 'node:test';
import { expect } from 'earl';
import type { TaskBatch } from '../../src/cells/messages';
import { batchOf } from '../cells/cellSimulation';
import { LeasedWorker } from './leasedWorker';
import { OwnerSimulation } from './ownerSimulation';

const RUN_MS = 40;
/** Longer than the lease that the start carries. */
const DELIVERED_AFTER_MS = 1200;
/** Time after which the start counts as unanswered and a list shows that it has not arrived. */
const UNANSWERED_MS = 200;
/** Time in which the owner notices a restart: the renewal of an idle worker waits that long. */
const NOTICED_MS = 650;
/** Time in which the owner notices a restart, reads the worker's entry and starts tasks there. */
const RETURN_MS = 700;

/** A batch of one short task. */
function shortBatch(): TaskBatch {
  return batchOf({ payload: String(RUN_MS), goalMs: 9000, deadlineInMs: 9000 });
}

/** A cell with one worker, which has not answered the start of a task and has then restarted. */
class DelayedStart {
  readonly worker = new LeasedWorker('w0');

  readonly simulation: OwnerSimulation;

  readonly #batch = shortBatch();

  #startsBeforeRestart = 0;

  private constructor(context: TestContext) {
    this.simulation = new OwnerSimulation(context, [this.worker]);
    context.after(() => this.simulation.close());
  }

  static async play(
    context: TestContext,
    deliveredAfterMs = DELIVERED_AFTER_MS,
    lostRenewals = 0,
  ): Promise<DelayedStart> {
    const play = new DelayedStart(context);
    const { simulation, worker } = play;
    await simulation.advance(5);
    worker.startDelaysMs = [deliveredAfterMs];
    worker.lostRenewals = lostRenewals;
    simulation.owner.run(play.#batch);
    await simulation.advance(UNANSWERED_MS);
    play.restart();
    return play;
  }

  restart(): void {
    this.worker.restart();
    this.#startsBeforeRestart = this.worker.starts.length;
  }

  /** Runs that the last process has begun, and whether each is that of the delayed start. */
  get begun(): readonly { readonly isDelayed: boolean }[] {
    const delayedTask = this.#batch.tasks[0]?.name;
    return this.worker.starts
      .slice(this.#startsBeforeRestart)
      .map(({ task, run }) => ({ isDelayed: task === delayedTask && run === 1 }));
  }
}

describe('a start that is delivered after its worker has restarted', () => {
  // Guards against a task that runs on a process for which it was not meant: one of another kind, or
  // a second time while it already runs elsewhere.
  it('is not carried out by the next process', async (t) => {
    const play = await DelayedStart.play(t);
    await play.simulation.advance(DELIVERED_AFTER_MS);
    expect(play.begun).toEqual([]);
    expect(play.simulation.decisions.includes('unanswered-starts-stopped')).toEqual(true);
  });

  // Guards against a second restart within the delay, after which the stops are forgotten again.
  it('is not carried out by the process after the next one', async (t) => {
    const play = await DelayedStart.play(t);
    await play.simulation.advance(UNANSWERED_MS);
    play.restart();
    await play.simulation.advance(DELIVERED_AFTER_MS);
    expect(play.begun).toEqual([]);
  });

  // Guards against a lease, or another task, for a process that may still carry the start out.
  it('finds no lease and no other run at a process that has confirmed no stop', async (t) => {
    const play = await DelayedStart.play(t);
    play.worker.lostStops = Infinity;
    await play.simulation.advance(NOTICED_MS);
    play.simulation.owner.run(shortBatch());
    await play.simulation.advance(DELIVERED_AFTER_MS - UNANSWERED_MS - NOTICED_MS - 1);
    expect(play.worker.leaseEndsAtMs).toEqual(0);
    await play.simulation.advance(RETURN_MS);
    expect(play.begun).toEqual([]);
  });

  // Guards against a stop for each start whose answer alone was lost, at each restart of a worker.
  it('is not looked for if it has arrived at the process before', async (t) => {
    // Without the lost renewal the list would come before the start counts as unanswered.
    const play = await DelayedStart.play(t, UNANSWERED_MS / 2, 1);
    await play.simulation.advance(NOTICED_MS);
    expect(play.simulation.decisions.includes('worker-restarted')).toEqual(true);
    expect(play.simulation.decisions.includes('unanswered-starts-stopped')).toEqual(false);
  });

  // Guards against a restarted worker that stays unused although the start can't be carried out.
  it('does not keep the next process from being used', async (t) => {
    const play = await DelayedStart.play(t);
    await play.simulation.advance(NOTICED_MS);
    play.simulation.owner.run(shortBatch());
    await play.simulation.advance(RETURN_MS);
    expect(play.begun).toEqual([{ isDelayed: false }]);
  });
});
