/** Faults of the stand-in store that a test switches on and off, and the count of its calls. */

/** Names of the calls that are counted. */
export type StoreCall =
  'range' | 'put' | 'txn' | 'watch' | 'leaseGrant' | 'leaseKeepAlive' | 'leaseRevoke';

/** Switches of the stand-in store. Faults can be combined; `mend` ends them all. */
export class StoreFaults {
  readonly #calls = new Map<StoreCall, number>();

  #thaw: (() => void) | null = null;

  #thawed: Promise<void> = Promise.resolve();

  #lostAnswers = 0;

  #refuses = false;

  #isCut = false;

  #delayMs = 0;

  get refuses(): boolean {
    return this.#refuses;
  }

  get isCut(): boolean {
    return this.#isCut;
  }

  get isFrozen(): boolean {
    return this.#thaw !== null;
  }

  get delayMs(): number {
    return this.#delayMs;
  }

  /** Resolves when the store is not frozen. */
  get thawed(): Promise<void> {
    return this.#thawed;
  }

  /** Answers each call with a refusal. */
  refuse(on = true): void {
    this.#refuses = on;
  }

  /** Delays the effect of each call. */
  delay(delayMs: number): void {
    this.#delayMs = delayMs;
  }

  /** Loses the answers of the next `count` calls, after their effect. */
  loseAnswers(count = Infinity): void {
    this.#lostAnswers = count;
  }

  /** Drops connections and watches, and refuses new ones. */
  cut(): void {
    this.#isCut = true;
  }

  /** Calls have no effect and no answer until `thaw`; then they take effect, late. */
  freeze(): void {
    if (this.#thaw) return;
    this.#thawed = new Promise((resolve) => {
      this.#thaw = resolve;
    });
  }

  thaw(): void {
    this.#thaw?.();
    this.#thaw = null;
  }

  /** Ends all faults. */
  mend(): void {
    this.#refuses = false;
    this.#isCut = false;
    this.#delayMs = 0;
    this.#lostAnswers = 0;
    this.thaw();
  }

  /** Counts a call; each watch counts once when it starts. */
  count(call: StoreCall): void {
    this.#calls.set(call, (this.#calls.get(call) ?? 0) + 1);
  }

  /** Calls so far, by name. */
  counts(): Readonly<Partial<Record<StoreCall, number>>> {
    return Object.fromEntries(this.#calls);
  }

  /** Number of calls so far, each watch included. */
  total(): number {
    return [...this.#calls.values()].reduce((sum, count) => sum + count, 0);
  }

  /** True if the answer of the present call is to be lost. */
  takeLostAnswer(): boolean {
    if (this.#lostAnswers <= 0) return false;
    this.#lostAnswers -= 1;
    return true;
  }
}
