/**
 * Follows the configuration key in the store: one watch, a read when the watch opens, and periodic
 * reads, which detect writes that the store lost and that a watch does not report. At most one read
 * and one watch are active, so the load on the store is constant per relay.
 */
import type { RandomSource } from '../core/clock';
import type { Entry, Store, Watch } from '../store/store';
import type { WriteBack } from './replica';

/** Two relays in each of 6 domains give 6 reads per second in total. */
export const READ_PERIOD_MS = 2000;

const BACKOFF_MIN_MS = 200;
const BACKOFF_MAX_MS = 10_000;

/** Timer interface, so that tests can inject a clock. */
export interface Timers {
  /** Schedules a callback and returns a function that cancels it. */
  set(callback: () => void, delayMs: number): () => void;
}

/** Timers of the Node.js process. */
export const SYSTEM_TIMERS: Timers = {
  set(callback, delayMs) {
    const timer = setTimeout(callback, delayMs);
    return () => clearTimeout(timer);
  },
};

/** Handles the current store entry; see `ConfigurationReplica.onStoreEntry`. */
export type EntryHandler = (entry: Entry | null, mayWriteBack: boolean) => void;

export interface RelayOptions {
  readonly store: Store;
  readonly key: string;
  readonly random: RandomSource;
  readonly timers: Timers;
  readonly onEntry: EntryHandler;
}

/** Exponential backoff before attempt `failures` + 1, capped, with jitter of 50 % to 100 %. */
export function backoffMs(failures: number, random: RandomSource): number {
  const full = Math.min(BACKOFF_MAX_MS, BACKOFF_MIN_MS * 2 ** Math.min(failures, 20));
  return full * (0.5 + random.next() / 2);
}

function noop(): void {}

/** Watches and reads the store while this host is a relay. */
export class ConfigurationRelay {
  readonly #options: RelayOptions;

  #running = false;

  #watch: Watch | null = null;

  #failures = 0;

  #cancelReconnect = noop;

  #cancelRead = noop;

  #watchOpen = false;

  #reading = false;

  #readAgain = false;

  constructor(options: RelayOptions) {
    this.#options = options;
  }

  /** Starts the watch and the reads. Has no effect on a running relay. */
  start(): void {
    if (this.#running) return;
    this.#running = true;
    this.#openWatch();
    this.#read();
  }

  /** Stops the watch and the reads. Pending responses are ignored. */
  stop(): void {
    this.#running = false;
    this.#cancelReconnect();
    this.#cancelRead();
    this.#watch?.close();
    this.#watch = null;
  }

  /** Performs a write-back. After a failure, the next read requests it again. */
  async writeBack({ value, expectedRevision, expectedValue }: WriteBack): Promise<void> {
    const { store, key, onEntry } = this.#options;
    const outcome = await store.swap(key, value, expectedRevision, expectedValue);
    if (outcome.ok && this.#running) onEntry(outcome.val.current, false);
  }

  #openWatch(): void {
    const { store, key, onEntry } = this.#options;
    this.#watch = store.watch(
      key,
      (change) => {
        if (this.#running && change.key === key) onEntry(change.entry, true);
      },
      () => this.#reconnect(),
      () => {
        this.#watchOpen = true;
        this.#read();
      },
    );
  }

  #reconnect(): void {
    this.#watchOpen = false;
    if (!this.#running) return;
    const { timers, random } = this.#options;
    const delayMs = backoffMs(this.#failures, random);
    this.#failures += 1;
    this.#cancelReconnect = timers.set(() => this.#openWatch(), delayMs);
  }

  /** Reads now, or again after a pending read, which may have missed the latest change. */
  #read(): void {
    if (!this.#running) return;
    this.#readAgain = this.#reading;
    if (!this.#reading) this.#readOnce();
  }

  async #readOnce(): Promise<void> {
    this.#reading = true;
    this.#cancelRead();
    const { store, key, onEntry, timers } = this.#options;
    const read = await store.get(key);
    this.#reading = false;
    if (!this.#running) return;
    if (read.ok) onEntry(read.val, true);
    if (this.#readAgain) this.#read();
    else this.#cancelRead = timers.set(() => this.#periodicRead(), READ_PERIOD_MS);
  }

  /** Resets the backoff here, because a watch that breaks as soon as it opens must not reset it. */
  #periodicRead(): void {
    if (this.#watchOpen) this.#failures = 0;
    this.#read();
  }
}
