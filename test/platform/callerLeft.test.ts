/**
 * Guards against running jobs for clients that have disconnected. Such a client may have submitted
 * the job to another host, where it would run at the same time.
 */
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { after, afterEach, before, describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'earl';
import { TestDeployment, until } from './deployment';
import { jobIdOf, jobRequest } from './jobRequest';
import type { TestHost } from './testHost';

const DEADLINE_MS = 4000;
/** Time for which the event loop is blocked, so that all data from this time is read together. */
const BLOCK_MS = 150;

function requestText(id: string, runMs: number): string {
  const payload = String(runMs);
  const { method, path, headers, body } = jobRequest({
    id,
    payload,
    tasks: 1,
    deadlineMs: DEADLINE_MS,
  });
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}`);
  const contentLength = `content-length: ${Buffer.byteLength(body)}`;
  return [`${method} ${path} HTTP/1.1`, ...lines, contentLength, '', body].join('\r\n');
}

async function openSocket(host: TestHost | undefined): Promise<Socket> {
  const [ip, port] = (host?.callersAddress ?? '').split(':');
  const socket = connect(Number(port), ip);
  socket.on('error', () => {});
  await once(socket, 'connect');
  return socket;
}

function blockEventLoop(forMs: number): void {
  const untilMs = performance.now() + forMs;
  while (performance.now() < untilMs);
}

describe('a client that has disconnected', () => {
  const deployment = new TestDeployment(['sofia-a']);
  before(() => deployment.open(1, 2));
  after(() => deployment.close());
  const sockets: Socket[] = [];
  afterEach(() => sockets.splice(0).forEach((socket) => socket.destroy()));

  const startsOf = (id: string) => deployment.starts.filter((start) => start.startsWith(id));

  async function connectClient(): Promise<Socket> {
    const socket = await openSocket(deployment.hosts[0]);
    sockets.push(socket);
    return socket;
  }

  // A job must not start if its client closed the connection before the host read the request.
  it('starts no task if the request and the end of the connection are read together', async () => {
    const id = jobIdOf(0xa1);
    const socket = await connectClient();
    const sent = new Promise<void>((resolve) => {
      socket.end(requestText(id, 300), resolve);
    });
    // The host's socket buffer holds both the request and the end before the host reads either.
    await new Promise<void>((resolve) => {
      setImmediate(resolve);
    });
    blockEventLoop(BLOCK_MS);
    await sent;
    await sleep(400);
    expect(startsOf(id)).toEqual([]);
    const decisions = deployment.hosts[0]?.lines
      .filter(({ fields }) => fields.jobId === id)
      .map(({ decision }) => decision);
    expect(decisions).toEqual(['caller-left']);
  });

  // A request that is pipelined behind another one on its connection must not outlive its client.
  it('stops the runs of all jobs if the client had pipelined several requests', async () => {
    const ids = [jobIdOf(0xb1), jobIdOf(0xb2)];
    const socket = await connectClient();
    socket.write(ids.map((id) => requestText(id, 3000)).join(''));
    await until('both jobs run', () => ids.every((id) => startsOf(id).length === 1));
    socket.destroy();
    await until(
      'no run is left',
      () => deployment.workers.every(({ runs }) => runs.size === 0),
      1000,
    );
  });
});
