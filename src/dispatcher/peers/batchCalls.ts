/**
 * Batch calls in progress at other hosts. A connection may be lost without a reset, and with it a
 * batch or its reply, while the owner keeps serving. Each status response lists the batches that
 * the owner has from this host; one that is missing there and stays unanswered is resent over a new
 * connection. The owner recognizes a batch by its id, and returns the stored reply of one that it
 * has already run.
 *
 * In the other direction, the close of an abandoned call may not reach the owner. So each status
 * request lists the calls that this host still awaits, and the owner withdraws the others.
 */
import type { CellRecord } from '../ownership/cellRecord';
import type { AwaitedCalls } from './peerMessages';

/** Time allowed for a batch to reach the owner, or for its reply to come back. */
const TRANSIT_MS = 100;
/**
 * Time after which an owner knows of an abandoned call. It withdraws the batches of a host that it
 * has not heard from for 700 ms, so by then it has either received a status request or withdrawn
 * the batch.
 */
const GIVE_UP_NOTICE_MS = 800;
/**
 * Time for the previous owner of a cell to learn of the new one and to hand its batches over, with
 * the names of the tasks that it has started. The new owner stops a run 250 ms after finding it
 * unless a batch claims it, which leaves 150 ms for the claim.
 */
const HANDOVER_GRACE_MS = 100;

/** One batch call; `resend` aborts the current attempt and sends the batch again. */
export interface BatchCallInProgress {
  readonly batchId: string;
  readonly cell: string;
  /** Process that the batch is addressed to; null if the call does not name one. */
  readonly ownerIncarnation: string | null;
  /** Sequence number from `nextNumber`; resends keep it. */
  readonly number: number;
  readonly sentAtMs: number;
  /** Ends the call; the batch counts as lost. */
  abandon(): void;
  resend(): void;
}

/** The batch calls in progress, by address of the owner. */
export class BatchCalls {
  readonly #calls = new Map<string, Map<string, BatchCallInProgress>>();

  readonly #givenUpAtMs = new Map<string, number>();

  #lastNumber = 0;

  /**
   * Sequence number for a new call. The call must be added before the next status request is sent.
   */
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

  /** Removes a call that ended without a reply; the owner may still run the batch. */
  giveUp(address: string, batchId: string, nowMs: number): void {
    this.delete(address, batchId);
    this.#givenUpAtMs.set(address, nowMs);
  }

  /** True while batches of this host are, or may be, in progress at the address. */
  mayHaveBatchesAt(address: string, nowMs: number): boolean {
    if ((this.#calls.get(address)?.size ?? 0) > 0) return true;
    return nowMs - (this.#givenUpAtMs.get(address) ?? -Infinity) < GIVE_UP_NOTICE_MS;
  }

  /**
   * The calls that this host awaits at an address. Null if no batch was ever sent to the address,
   * because the same process may have received batches at another address.
   */
  awaited(address: string): AwaitedCalls | null {
    const calls = this.#calls.get(address);
    if (!calls) return null;
    return { upTo: this.#lastNumber, numbers: [...calls.values()].map(({ number }) => number) };
  }

  /** Abandons all calls to an owner that is gone. */
  abandonCallsTo(address: string): void {
    [...(this.#calls.get(address)?.values() ?? [])].forEach((call) => call.abandon());
  }

  /**
   * Abandons the calls for a cell to its former owners, after a grace period in which they can hand
   * over their batches. A former owner is no longer monitored, so if its process is paused, nothing
   * else would end these calls.
   */
  abandonCallsToFormerOwners({ cell, owner }: CellRecord): void {
    this.#calls.forEach((calls, address) => {
      const replaced = [...calls.values()].filter(
        (call) =>
          call.cell === cell &&
          (address !== owner.address || call.ownerIncarnation !== owner.incarnation),
      );
      if (replaced.length === 0) return;
      setTimeout(() => {
        // A call may have been resent in the meantime; abandoning it ends every attempt.
        replaced.filter(({ batchId }) => calls.has(batchId)).forEach((call) => call.abandon());
      }, HANDOVER_GRACE_MS);
    });
  }

  /**
   * Returns the calls that are missing from the list of batches in progress that the owner sent in
   * reply to the poll at `polledAtMs`. Their replies may still be in transit.
   */
  missing(
    address: string,
    inProgress: readonly string[],
    polledAtMs: number,
  ): readonly BatchCallInProgress[] {
    const present = new Set(inProgress);
    return [...(this.#calls.get(address)?.values() ?? [])].filter(
      ({ batchId, sentAtMs }) => !present.has(batchId) && polledAtMs - sentAtMs > TRANSIT_MS,
    );
  }

  /**
   * Resends those of the missing calls that are still unanswered after `TRANSIT_MS`. If there are
   * any, `replacePool` is called first, because other connections may have been lost as well.
   */
  resendLater(
    address: string,
    missing: readonly BatchCallInProgress[],
    replacePool: () => void,
  ): void {
    setTimeout(() => {
      const calls = this.#calls.get(address);
      const unanswered = missing.filter((call) => calls?.get(call.batchId) === call);
      if (unanswered.length > 0) replacePool();
      unanswered.forEach((call) => call.resend());
    }, TRANSIT_MS);
  }
}
