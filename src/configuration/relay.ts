/**
 * The store side of a relay: one watch on the configuration key, a read when the watch opens, and a
 * read every few seconds, which finds what a watch does not tell: writes that the store lost. At most
 * one read and one watch are under way, so the load on the store is constant per relay.
 */
import type { RandomSource } from '../core/clock';
import type { Entry, Store, Watch } from '../store/store';
import type { WriteBack } from './replica';

/** Two relays in each of 6 domains read 6 times a second in all. */
export const READ_PERIOD_MS = 2000;

const BACKOFF_MIN_MS = 200;
const BACKOFF_MAX_MS = 10_000;

/** Timers, so that tests can inject their clock. */
export interface Timers {
  /** Calls back once after the delay; the result cancels it. */
  set(callback: () => void, delayMs: number): () => void;
}

/** Timers of the process. */
export const SYSTEM_TIMERS: Timers = {
  set(callback, delayMs) {
    const timer = setTimeout(callback, delayMs);
    return () => clearTimeout(timer);
  },
};

/** Takes what the store holds; see `ConfigurationReplica.onStoreEntry`. */
export type EntryHandler = (entry: Entry | null, mayWriteBack: boolean) => void;

/** What a relay works with. */
export interface RelayOptions {
  readonly store: Store;
  readonly key: string;
  readonly random: RandomSource;
  readonly timers: Timers;
  readonly onEntry: EntryHandler;
}

/** Delay before attempt `failures` + 1: doubled each time, capped, and 50 % to 100 % of that. */
export function backoffMs(failures: number, random: RandomSource): number {
  const full = Math.min(BACKOFF_MAX_MS, BACKOFF_MIN_MS * 2 ** Math.min(failures, 20));
  return full * (0.5 + random.next() / 2);
}

function doNothing(): void {}

/** Runs while this host is a relay. */
export class ConfigurationRelay {
  readonly #options: RelayOptions;

  #running = false;

  #watch: Watch | null = null;

  #failures = 0;

  #cancelReconnect = doNothing;

  #cancelRead = doNothing;

  #watchOpen = false;

  #reading = false;

  #readAgain = false;

  constructor(options: RelayOptions) {
    this.#options = options;
  }

  /** Starts the watch and the reads; no effect on a running relay. */
  start(): void {
    if (this.#running) return;
    this.#running = true;
    this.#openWatch();
    this.#read();
  }

  /** Ends the watch and the reads; answers under way are dropped. */
  stop(): void {
    this.#running = false;
    this.#cancelReconnect();
    this.#cancelRead();
    this.#watch?.close();
    this.#watch = null;
  }

  /** Performs a write-back; failures are left to the next read, which asks for it again. */
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

  /** Reads now, or once more after a read under way, which may have missed the latest change. */
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

  /** A watch that breaks as soon as it opens must not reset the backoff. */
  #periodicRead(): void {
    if (this.#watchOpen) this.#failures = 0;
    this.#read();
  }
}
