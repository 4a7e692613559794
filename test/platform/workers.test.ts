/** Calls to a worker that crashes and starts again at once, under its id and at its address. */
import { describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'earl';
import { PlatformWorkerClient } from '../../platform/workers';
import { StartAnswer } from '../../src/cells/actions';
import { WorkerStandin } from './workerStandin';

const STARTS = 16;
/** Connections to a worker. */
const CONNECTIONS = 5;
const TOKEN = 1000;

describe('starts on a worker that crashes while they are sent', () => {
  // Guards against tasks that run on a process with other labels, another room or another service,
  // because their starts waited for a connection.
  it('do not reach the next process, and those that were not sent are told apart', async (t) => {
    let startsBefore = Infinity;
    const worker: WorkerStandin = new WorkerStandin('w0', 'a', {
      observer: {
        started: () => {
          if (startsBefore !== Infinity) return;
          setImmediate(() => {
            startsBefore = worker.starts.length;
            worker.crash();
          });
        },
        ended: () => {},
      },
    });
    await worker.open();
    t.after(() => worker.close());
    const client = new PlatformWorkerClient({ logDecision: () => {} });
    t.after(() => client.close());
    const target = { id: worker.id, address: worker.address };
    const renewal = { fencingToken: TOKEN, acknowledged: 0, leaseEndClockMs: null, waitMs: 0 };
    const listed = await client.renew(target, renewal);
    if (listed.type !== 'listed') throw new Error(`the worker does not answer: ${listed.type}`);
    const { clockMs, processStartMs } = listed;
    // The next process must have another start time.
    await sleep(2);
    const answers = await Promise.all(
      Array.from({ length: STARTS }, (_, index) =>
        client.start(target, {
          task: `a.0.0.${index}`,
          run: 1,
          payload: '60',
          processStartMs,
          leaseEndClockMs: clockMs + 1000,
          fencingToken: TOKEN,
        }),
      ),
    );
    expect(worker.starts.length).toEqual(startsBefore);
    const sent = answers.filter(
      (answer) => answer === StartAnswer.accepted || answer === StartAnswer.unclear,
    );
    expect(sent.length).toBeLessThanOrEqual(CONNECTIONS);
    const known = answers.filter(
      (answer) => answer === StartAnswer.restarted || answer === StartAnswer.unsent,
    );
    expect(known.length).toEqual(STARTS - sent.length);
    // Only a connection that ends before the query is answered leaves the process unknown.
    const unsent = answers.filter((answer) => answer === StartAnswer.unsent);
    expect(unsent.length).toBeLessThanOrEqual(CONNECTIONS);
  });
});
