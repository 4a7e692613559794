/**
 * Tracks the hosts that submit batches to this one: when each was last heard, and which of its
 * calls it still waits for. A submitter numbers its calls in the order in which it begins them, and
 * never waits again for a call that it has abandoned. A status poll that reports a call as
 * abandoned therefore holds for good, even if polls overtake each other in transit, and no clocks
 * need to be compared.
 */
import type { HostIdentity } from '../ownership/cellRecord';
import { laterReading } from './batchContact';
import type { ClockReading } from './peerClocks';
import type { AwaitedCalls, BatchCall } from './peerMessages';

/** A submitter that has not been heard for this long counts as lost. */
const SILENT_AFTER_MS = 700;
/**
 * Time in which a submitter must be heard after a pause of this process; it polls every 150 ms. The
 * time is short because its runs continued during the pause, and its clients may resubmit their
 * jobs 1300 ms after they lost it.
 */
const PAUSE_GRACE_MS = 300;

interface Submitter {
  lastContactMs: number;
  /**
   * True if it was given extra time after a pause. This happens only once until it is heard again.
   */
  hadPauseGrace: boolean;
  /** True if it was found to be silent since it was last heard. */
  isMarkedSilent: boolean;
  /** Calls up to this number are awaited only if `numbers` contains them. */
  upTo: number;
  numbers: ReadonlySet<number>;
  /** When the last poll that reported the awaited calls was sent. */
  lastStatusRequestAt: ClockReading;
}

const NEVER: ClockReading = { steadyMs: -Infinity, dayMs: -Infinity };

function keyOf({ hostId, incarnation }: HostIdentity): string {
  return `${hostId}/${incarnation}`;
}

/** Known submitters, one entry for each process. */
export class SubmitterTracker {
  readonly #submitters = new Map<string, Submitter>();

  /** Records that a message of the submitter has arrived. */
  recordContact(from: HostIdentity, nowMs: number): void {
    const submitter = this.#getOrAdd(from, nowMs);
    submitter.lastContactMs = nowMs;
    submitter.hadPauseGrace = false;
    submitter.isMarkedSilent = false;
  }

  /**
   * Applies the awaited calls that a submitter reported at `sentAt`, unless a newer report is
   * known.
   */
  updateAwaitedCalls(
    from: HostIdentity,
    { upTo, numbers }: AwaitedCalls,
    sentAt: ClockReading,
    nowMs: number,
  ): void {
    const submitter = this.#getOrAdd(from, nowMs);
    if (upTo < submitter.upTo) return;
    submitter.lastStatusRequestAt = laterReading(submitter.lastStatusRequestAt, sentAt);
    // If no call was begun between two polls, their order is unknown. Both report abandoned calls
    // correctly, so only calls in both are still awaited.
    const isSame = upTo === submitter.upTo;
    const awaited = isSame ? numbers.filter((number) => submitter.numbers.has(number)) : numbers;
    submitter.upTo = upTo;
    submitter.numbers = new Set(awaited);
  }

  /** When the last poll that reported the submitter's awaited calls was sent. */
  lastStatusRequestAt(from: HostIdentity): ClockReading {
    return this.#submitters.get(keyOf(from))?.lastStatusRequestAt ?? NEVER;
  }

  /** False if the submitter has reported that it no longer waits for the call. */
  isAwaited({ from, number }: BatchCall): boolean {
    const known = this.#submitters.get(keyOf(from));
    // Hosts of an earlier version do not number their calls.
    if (!known || number === undefined) return true;
    return number > known.upTo || known.numbers.has(number);
  }

  isSilent(from: HostIdentity, nowMs: number): boolean {
    const known = this.#submitters.get(keyOf(from));
    return known !== undefined && nowMs - known.lastContactMs > SILENT_AFTER_MS;
  }

  /** Marks a submitter as silent. Returns true if it was not marked since it was last heard. */
  markSilent(from: HostIdentity): boolean {
    const known = this.#submitters.get(keyOf(from));
    if (!known || known.isMarkedSilent) return false;
    known.isMarkedSilent = true;
    return true;
  }

  /**
   * Gives submitters extra time after a pause, in which this process could not read their messages.
   */
  resume(nowMs: number): void {
    const lastContactMs = nowMs - SILENT_AFTER_MS + PAUSE_GRACE_MS;
    this.#submitters.forEach((submitter) => {
      if (submitter.hadPauseGrace) return;
      const resumed = submitter;
      resumed.lastContactMs = Math.max(submitter.lastContactMs, lastContactMs);
      resumed.hadPauseGrace = true;
    });
  }

  #getOrAdd(from: HostIdentity, nowMs: number): Submitter {
    const key = keyOf(from);
    const known = this.#submitters.get(key);
    if (known) return known;
    const submitter = {
      lastContactMs: nowMs,
      hadPauseGrace: false,
      isMarkedSilent: false,
      upTo: 0,
      numbers: new Set<number>(),
      lastStatusRequestAt: NEVER,
    };
    this.#submitters.set(key, submitter);
    return submitter;
  }
}
