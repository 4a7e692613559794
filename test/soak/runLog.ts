/** Log of what the workers ran, in the form of the hosts' logs, so that both can be read in order. */
import { createWriteStream, type WriteStream } from 'node:fs';
import { join } from 'node:path';
import { monitorEventLoopDelay } from 'node:perf_hooks';

const FILE = 'workers.log';
const DELAY_PERIOD_MS = 1000;
const NS_PER_MS = 1e6;

/** Writes to the folder of the hosts' logs. */
export class RunLog {
  readonly #output: WriteStream;

  readonly #delays = monitorEventLoopDelay({ resolution: 10 });

  readonly #timer: NodeJS.Timeout;

  constructor(folder: string) {
    this.#output = createWriteStream(join(folder, FILE));
    this.#delays.enable();
    this.#timer = setInterval(() => this.#writeDelay(), DELAY_PERIOD_MS);
  }

  write(source: string, decision: string, fields: object): void {
    const line = { timeMs: Date.now(), host: source, decision, ...fields };
    this.#output.write(`${JSON.stringify(line)}\n`);
  }

  /** How late this process is: workers, callers and proxies live in it. */
  #writeDelay(): void {
    const mostMs = Math.round(this.#delays.max / NS_PER_MS);
    const meanMs = Math.round(this.#delays.mean / NS_PER_MS);
    this.write('soak', 'event-loop', { mostMs, meanMs });
    this.#delays.reset();
  }

  close(): Promise<void> {
    clearInterval(this.#timer);
    this.#delays.disable();
    return new Promise((resolve) => {
      this.#output.end(resolve);
    });
  }
}
