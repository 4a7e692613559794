/**
 * Metrics in StatsD format over UDP, based on hot-shots. Counters are aggregated in the process and
 * all lines are buffered. Errors are counted and never reach the caller.
 */
import { StatsD } from 'hot-shots';
import { Counters } from './counters';
import type { Metrics } from './observer';

/** Maximum payload of a datagram that, with IPv6 and UDP headers, fits into one Ethernet frame. */
const DATAGRAM_BYTES = 1432;
const FLUSH_MS = 1000;

/** Time that `close` allows for datagrams in flight; the library polls at a tenth of it. */
const CLOSE_POLL_MS = 10;

type Tags = Readonly<Record<string, string>>;

/** `host` is an IP address; `prefix` and a dot are prepended to each name. */
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

  #errorCount = 0;

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
      // Prevents the process environment and the container from changing what is sent.
      datadog: false,
      includeDataDogTags: false,
      errorHandler: () => {
        this.#errorCount += 1;
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

  /** Number of datagrams that could not be sent, and of errors at close. */
  errors(): number {
    return this.#errorCount;
  }

  /** Sends buffered metrics and closes the socket; later metrics are ignored. Never rejects. */
  close(): Promise<void> {
    if (this.#closing === null) {
      clearInterval(this.#timer);
      this.#flushCounters();
      this.#closing = this.#closeClient(true);
    }
    return this.#closing;
  }

  #flushCounters(): void {
    this.#counters.drain().forEach(({ name, value, tags }) => {
      this.#client.increment(name, value, tags);
    });
  }

  /** Retries once, because hot-shots leaves the socket open when the last flush fails. */
  async #closeClient(retry: boolean): Promise<void> {
    const error = await new Promise<Error | undefined>((resolve) => {
      this.#client.close((closeError?: Error) => resolve(closeError));
    });
    if (!error) return;
    this.#errorCount += 1;
    if (retry) await this.#closeClient(false);
  }
}
