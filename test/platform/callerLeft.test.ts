/** Guards against work for callers that have left: it could run beside the same job, submitted elsewhere. */
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { after, afterEach, before, describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'earl';
import { TestDeployment, until } from './deployment';
import { jobIdOf, jobRequest } from './jobRequest';
import type { TestHost } from './testHost';

const DEADLINE_MS = 4000;
/** Blocks the event loop: what arrives in the meantime is read at once afterwards. */
const LAG_MS = 150;

function textOf(id: string, runMs: number): string {
  const payload = String(runMs);
  const { method, path, headers, body } = jobRequest({
    id,
    payload,
    tasks: 1,
    deadlineMs: DEADLINE_MS,
  });
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}`);
  const length = `content-length: ${Buffer.byteLength(body)}`;
  return [`${method} ${path} HTTP/1.1`, ...lines, length, '', body].join('\r\n');
}

async function open(host: TestHost | undefined): Promise<Socket> {
  const [ip, port] = (host?.callersAddress ?? '').split(':');
  const socket = connect(Number(port), ip);
  socket.on('error', () => {});
  await once(socket, 'connect');
  return socket;
}

function block(forMs: number): void {
  const untilMs = performance.now() + forMs;
  while (performance.now() < untilMs);
}

describe('a caller that has left', () => {
  const deployment = new TestDeployment(['sofia-a']);
  before(() => deployment.open(1, 2));
  after(() => deployment.close());
  const sockets: Socket[] = [];
  afterEach(() => sockets.splice(0).forEach((socket) => socket.destroy()));

  const startsOf = (id: string) => deployment.starts.filter((start) => start.startsWith(id));

  async function connected(): Promise<Socket> {
    const socket = await open(deployment.hosts[0]);
    sockets.push(socket);
    return socket;
  }

  // Guards against a job that starts although its client had closed the connection before it was read.
  it('gets nothing started if its request and the end of its connection are read together', async () => {
    const id = jobIdOf(0xa1);
    const socket = await connected();
    const sent = new Promise<void>((resolve) => {
      socket.end(textOf(id, 300), resolve);
    });
    // The request and the end are in the host's socket buffer before it reads either.
    await new Promise<void>((resolve) => {
      setImmediate(resolve);
    });
    block(LAG_MS);
    await sent;
    await sleep(400);
    expect(startsOf(id)).toEqual([]);
    const decisions = deployment.hosts[0]?.lines
      .filter(({ fields }) => fields.jobId === id)
      .map(({ decision }) => decision);
    expect(decisions).toEqual(['caller-left']);
  });

  // Guards against a request that waits behind another one on its connection and outlives the client.
  it('has its runs stopped if it had sent several requests over one connection', async () => {
    const ids = [jobIdOf(0xb1), jobIdOf(0xb2)];
    const socket = await connected();
    socket.write(ids.map((id) => textOf(id, 3000)).join(''));
    await until('both jobs run', () => ids.every((id) => startsOf(id).length === 1));
    socket.destroy();
    await until(
      'no run is left',
      () => deployment.workers.every(({ runs }) => runs.size === 0),
      1000,
    );
  });
});
