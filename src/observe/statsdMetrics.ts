/**
 * Metrics over hot-shots: StatsD lines over UDP. Counters are summed in the process and all lines
 * are buffered. Errors are counted and never reach the caller.
 */
import { StatsD } from 'hot-shots';
import { Counters } from './counters';
import type { Metrics } from './observer';

/** Keeps a datagram within one Ethernet frame, with IPv6 and UDP headers. */
const DATAGRAM_BYTES = 1432;
const FLUSH_MS = 1000;

/** Time for datagrams in flight at close; the library polls at a tenth of it. */
const CLOSE_POLL_MS = 10;

type Tags = Readonly<Record<string, string>>;

/** `host` is an IP number; `prefix` comes before each name, followed by a dot. */
export interface StatsdOptions {
  readonly host: string;
  readonly port: number;
  readonly prefix: string;
  readonly tags?: Tags;
}

/** Sends metrics to one StatsD address. */
export class StatsdMetrics implements Metrics {
  readonly #client: StatsD;

  readonly #counters = new Counters();

  readonly #timer: NodeJS.Timeout;

  #errors = 0;

  #closing: Promise<void> | null = null;

  constructor(options: StatsdOptions) {
    this.#client = new StatsD({
      protocol: 'udp',
      host: options.host,
      port: options.port,
      prefix: options.prefix,
      globalTags: { ...options.tags },
      maxBufferSize: DATAGRAM_BYTES,
      bufferFlushInterval: FLUSH_MS,
      closingFlushInterval: CLOSE_POLL_MS,
      // The environment and the container of the process must not change what is sent.
      datadog: false,
      includeDataDogTags: false,
      errorHandler: () => {
        this.#errors += 1;
      },
    });
    this.#timer = setInterval(() => this.#flushCounters(), FLUSH_MS);
    this.#timer.unref();
  }

  count(name: string, value: number, tags: Tags = {}): void {
    if (this.#closing === null) this.#counters.add(name, value, tags);
  }

  gauge(name: string, value: number, tags: Tags = {}): void {
    if (this.#closing === null) this.#client.gauge(name, value, tags);
  }

  timing(name: string, valueMs: number, tags: Tags = {}): void {
    if (this.#closing === null) this.#client.timing(name, valueMs, tags);
  }

  /** Datagrams that could not be sent. */
  errors(): number {
    return this.#errors;
  }

  /** Sends what is buffered and closes the socket; later metrics are ignored. It never rejects. */
  close(): Promise<void> {
    if (this.#closing === null) {
      clearInterval(this.#timer);
      this.#flushCounters();
      this.#closing = this.#closeClient(true);
    }
    return this.#closing;
  }

  #flushCounters(): void {
    this.#counters.take().forEach(({ name, value, tags }) => {
      this.#client.increment(name, value, tags);
    });
  }

  /** The library leaves the socket open when the last flush fails; a second call closes it. */
  async #closeClient(again: boolean): Promise<void> {
    const error = await new Promise<Error | undefined>((resolve) => {
      this.#client.close((closeError?: Error) => resolve(closeError));
    });
    if (!error) return;
    this.#errors += 1;
    if (again) await this.#closeClient(false);
  }
}
