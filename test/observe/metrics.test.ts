/** Guards against metrics that throw, block the caller or are lost at close. */
import { createSocket } from 'node:dgram';
import type { Socket } from 'node:dgram';
import { once } from 'node:events';
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { NO_METRICS, StatsdMetrics } from '../../src/observe';

const HOST = '127.0.0.1';

async function listen(): Promise<{ socket: Socket; port: number }> {
  const socket = createSocket('udp4');
  socket.bind(0, HOST);
  await once(socket, 'listening');
  return { socket, port: socket.address().port };
}

async function close(socket: Socket): Promise<void> {
  socket.close();
  await once(socket, 'close');
}

describe('StatsdMetrics', () => {
  it('aggregates counters and sends all buffered metrics at close', async () => {
    const { socket, port } = await listen();
    const received = once(socket, 'message');
    const metrics = new StatsdMetrics({ host: HOST, port, prefix: 'desk', tags: { host: 'h1' } });
    metrics.count('starts', 2, { team: 'a' });
    metrics.count('starts', 3, { team: 'a' });
    metrics.count('starts', 1, { team: 'b' });
    metrics.gauge('queued', 7);
    metrics.timing('answer', 12);
    await Promise.all([metrics.close(), metrics.close()]);
    const [message] = (await received) as [Buffer];
    expect(message.toString().trim().split('\n').sort()).toEqual([
      'desk.answer:12|ms|#host:h1',
      'desk.queued:7|g|#host:h1',
      'desk.starts:1|c|#host:h1,team:b',
      'desk.starts:5|c|#host:h1,team:a',
    ]);
    metrics.count('late', 1);
    expect(metrics.errors()).toEqual(0);
    await close(socket);
  });

  it('ignores an address without a listener', async () => {
    const { socket, port } = await listen();
    await close(socket);
    const metrics = new StatsdMetrics({ host: HOST, port, prefix: 'desk' });
    metrics.count('starts', 1);
    await metrics.close();
    expect(metrics.errors()).toEqual(0);
  });

  it('counts send errors, and closes', async () => {
    // The kernel refuses datagrams to a broadcast address without SO_BROADCAST.
    const metrics = new StatsdMetrics({ host: '127.255.255.255', port: 9, prefix: 'desk' });
    metrics.timing('answer', 1);
    await metrics.close();
    expect(metrics.errors()).toBeGreaterThanOrEqual(1);
  });

  it('is not blocked by a receiver whose buffer is full', async () => {
    const { socket, port } = await listen();
    socket.setRecvBufferSize(1);
    const metrics = new StatsdMetrics({ host: HOST, port, prefix: 'desk' });
    Array.from({ length: 20_000 }).forEach((_, index) => metrics.timing('answer', index));
    await metrics.close();
    expect(metrics.errors()).toEqual(0);
    await close(socket);
  });
});

describe('NO_METRICS', () => {
  it('discards all metrics without throwing', () => {
    NO_METRICS.count('a', 1);
    NO_METRICS.gauge('a', 1);
    NO_METRICS.timing('a', 1);
  });
});
