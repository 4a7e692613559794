/** Calls to a worker that crashes and starts again at once, under its id and at its address. */
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
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

describe('a start on a worker that does not tell its process', () => {
  const request = {
    task: 'a.0.0.0',
    run: 1,
    payload: '60',
    processStartMs: 1,
    leaseEndClockMs: 1000,
    fencingToken: TOKEN,
  };

  /** The answer to a start if the worker answers everything in this way, and what it received. */
  async function answerTo(status: number, body: object): Promise<readonly [string, string[]]> {
    const paths: string[] = [];
    const server = createServer((call, response) => {
      paths.push(call.url ?? '');
      response.writeHead(status).end(JSON.stringify(body));
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const client = new PlatformWorkerClient({ logDecision: () => {} });
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    const answer = await client.start({ id: 'w0', address }, request);
    await client.close();
    server.close();
    return [answer, paths];
  }

  // Guards against a job that fails, or a task that waits for leases, because of the answer to the
  // query that goes before the start.
  it('is not sent, and counts as that unless the answer holds for it as well', async () => {
    const paths = ['/wasabiyoke/hold'];
    expect(await answerTo(200, {})).toEqual([StartAnswer.unsent, paths]);
    expect(await answerTo(400, {})).toEqual([StartAnswer.unsent, paths]);
    expect(await answerTo(500, {})).toEqual([StartAnswer.unsent, paths]);
    expect(await answerTo(409, { reason: 'fence' })).toEqual([StartAnswer.fenced, paths]);
    expect(await answerTo(421, {})).toEqual([StartAnswer.restarted, paths]);
    expect(await answerTo(503, {})).toEqual([StartAnswer.unhealthy, paths]);
  });
});
