/** Guards against a closed client of the store that connects again and keeps its process alive. */
import { afterEach, beforeEach, describe, it } from 'node:test';
import { once } from 'node:events';
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { expect } from 'earl';
import { Endpoints } from '../../src/store/endpoints';

/** Far longer than a connection over loopback takes. */
const SETTLE_MS = 200;
const TIMEOUT_MS = 1000;

describe('closed endpoints', () => {
  let server: Server;
  let sockets: Socket[];
  let endpoints: Endpoints;

  beforeEach(async () => {
    sockets = [];
    // Accepts connections and never answers, so that a connection attempt stays in progress.
    server = createServer((socket) => sockets.push(socket));
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    endpoints = new Endpoints([`127.0.0.1:${(server.address() as AddressInfo).port}`]);
  });

  afterEach(async () => {
    endpoints.close();
    sockets.forEach((socket) => socket.destroy());
    const closed = once(server, 'close');
    server.close();
    await closed;
  });

  it('open no connection for a later call', async () => {
    endpoints.close();
    expect(await endpoints.connect(TIMEOUT_MS)).toEqual(null);
    await delay(SETTLE_MS);
    expect(sockets.length).toEqual(0);
  });

  it('open no connection for a call that was connecting', async () => {
    const connecting = endpoints.connect(TIMEOUT_MS);
    while (sockets.length === 0) await delay(1); // eslint-disable-line no-await-in-loop -- polls
    endpoints.close();
    expect(await connecting).toEqual(null);
    await delay(SETTLE_MS);
    expect(sockets.length).toEqual(1);
  });
});
