/**
 * Batch calls in progress at other hosts. A connection may go silent without a reset, so that a batch
 * or its end is lost while the owner serves. Each status answer names the batches that the owner has
 * for this host: one that is missing there and stays unanswered is sent again over a new connection.
 * The owner knows a batch by its id, and returns the end of one that it has already run.
 *
 * The other way round, the end of a call that is given up may not reach the owner. So each question
 * names the calls that this host still waits for, and the owner withdraws the others.
 */
import type { CellRecord } from './cellRecord';
import type { AwaitedCalls } from './peerMessages';

/** Time for a batch to reach the owner, or for its end to come back. */
const ON_THE_WAY_MS = 100;
/**
 * Time for an owner to hear of a call that was given up. It withdraws the batches of a host that it has
 * not heard for 700 ms, so that after this time it has been told or needs no telling.
 */
const TELL_MS = 800;
/**
 * Time for the previous owner of a cell to hear of the new one and to hand its batches over, with the
 * names of the tasks that it has started. The new owner stops runs 250 ms after it has found them unless
 * a batch claims them, so that 150 ms are left for the claim.
 */
const HAND_OVER_MS = 100;

/** One call; `resend` breaks the connection and sends the batch again. */
export interface BatchCallInProgress {
  readonly batchId: string;
  readonly cell: string;
  /** Process that the batch was sent to; null if the call does not say. */
  readonly ownerIncarnation: string | null;
  /** From `nextNumber`, the same each time the batch is sent. */
  readonly number: number;
  readonly sentAtMs: number;
  /** Ends the call; the batch counts as lost. */
  abandon(): void;
  resend(): void;
}

/** Calls by the address of the owner. */
export class BatchCalls {
  readonly #calls = new Map<string, Map<string, BatchCallInProgress>>();

  readonly #givenUpAtMs = new Map<string, number>();

  #lastNumber = 0;

  /** Number for a call that begins. The call must be set before the next question is asked. */
  nextNumber(): number {
    this.#lastNumber += 1;
    return this.#lastNumber;
  }

  set(address: string, call: BatchCallInProgress): void {
    const calls = this.#calls.get(address) ?? new Map<string, BatchCallInProgress>();
    this.#calls.set(address, calls.set(call.batchId, call));
  }

  delete(address: string, batchId: string): void {
    this.#calls.get(address)?.delete(batchId);
  }

  /** Ends a call without a reply; the owner may still have the batch. */
  giveUp(address: string, batchId: string, nowMs: number): void {
    this.delete(address, batchId);
    this.#givenUpAtMs.set(address, nowMs);
  }

  /** True while batches of this host are in progress there, or may be. */
  isRunningAt(address: string, nowMs: number): boolean {
    if ((this.#calls.get(address)?.size ?? 0) > 0) return true;
    return nowMs - (this.#givenUpAtMs.get(address) ?? -Infinity) < TELL_MS;
  }

  /**
   * What this host waits for at an address. Null if no batch was ever sent there: the same process may
   * have been sent some at another address.
   */
  awaited(address: string): AwaitedCalls | null {
    const calls = this.#calls.get(address);
    if (!calls) return null;
    return { upTo: this.#lastNumber, numbers: [...calls.values()].map(({ number }) => number) };
  }

  /** Ends all calls to an owner that is gone. */
  abandon(address: string): void {
    [...(this.#calls.get(address)?.values() ?? [])].forEach((call) => call.abandon());
  }

  /**
   * Gives the earlier owners of a cell a moment to hand over the batches that they have now, and ends the
   * calls that are still open then. An owner that stands still is not followed any more when another one
   * has taken its place, so that nothing else would end them.
   */
  abandonReplaced({ cell, owner }: CellRecord): void {
    this.#calls.forEach((calls, address) => {
      const replaced = [...calls.values()].filter(
        (call) =>
          call.cell === cell &&
          (address !== owner.address || call.ownerIncarnation !== owner.incarnation),
      );
      if (replaced.length === 0) return;
      setTimeout(() => {
        // It may have been sent again in the meantime; ending it ends each attempt.
        replaced.filter(({ batchId }) => calls.has(batchId)).forEach((call) => call.abandon());
      }, HAND_OVER_MS);
    });
  }

  /**
   * Takes what the owner, asked at `askedAtMs`, said it has in progress. Returns the calls that it
   * should have and lacks; their ends may still be on the way.
   */
  missing(
    address: string,
    inProgress: readonly string[],
    askedAtMs: number,
  ): readonly BatchCallInProgress[] {
    const present = new Set(inProgress);
    return [...(this.#calls.get(address)?.values() ?? [])].filter(
      ({ batchId, sentAtMs }) => !present.has(batchId) && askedAtMs - sentAtMs > ON_THE_WAY_MS,
    );
  }

  /**
   * Sends calls again that are still unanswered after the time that an end may be on the way.
   * `renew` is called before, if there are any: other connections may have gone silent as well.
   */
  resendLater(address: string, missing: readonly BatchCallInProgress[], renew: () => void): void {
    setTimeout(() => {
      const calls = this.#calls.get(address);
      const unanswered = missing.filter((call) => calls?.get(call.batchId) === call);
      if (unanswered.length > 0) renew();
      unanswered.forEach((call) => call.resend());
    }, ON_THE_WAY_MS);
  }
}
