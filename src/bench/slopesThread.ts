/** The thread of the stand-ins, as the main thread uses it. */
import { once } from 'node:events';
import { join } from 'node:path';
import { Worker } from 'node:worker_threads';
import type { LoadReport } from './loadTypes';
import type { StandinLoad, StandinReply, StandinRequest, StandinShape } from './slopesStandins';

/** The thread runs TypeScript, so it registers the same loader as this process. */
const BOOT = `require('tsx/cjs'); require(require('node:worker_threads').workerData.file);`;

/** A stand-in thread; one request at a time. */
export class StandinThread {
  readonly #worker: Worker;

  constructor(shape: StandinShape) {
    const file = join(__dirname, 'slopesStandins.ts');
    this.#worker = new Worker(BOOT, { eval: true, workerData: { ...shape, file } });
  }

  async opened(): Promise<Extract<StandinReply, { type: 'open' }>> {
    const [reply] = (await once(this.#worker, 'message')) as [StandinReply];
    if (reply.type !== 'open') throw new Error(`stand-ins replied ${reply.type}`);
    return reply;
  }

  async load(load: StandinLoad): Promise<LoadReport> {
    const reply = await this.#ask({ type: 'load', load });
    if (reply.type !== 'loaded') throw new Error(`stand-ins replied ${reply.type}`);
    return reply.report;
  }

  async close(): Promise<void> {
    await this.#ask({ type: 'close' });
    await this.#worker.terminate();
  }

  async #ask(request: StandinRequest): Promise<StandinReply> {
    this.#worker.postMessage(request);
    const [reply] = (await once(this.#worker, 'message')) as [StandinReply];
    return reply;
  }
}
