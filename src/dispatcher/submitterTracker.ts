/**
 * The hosts that hand batches to this one: when each was last heard, and which of its calls it still
 * waits for. A submitter numbers its calls in the order in which it begins them, and never waits again
 * for one that it has given up. So what a question says holds for good, whatever it overtakes on the
 * way, and no clocks are compared.
 */
import type { HostIdentity } from './cellRecord';
import { laterReading } from './batchContact';
import type { ClockReading } from './peerClocks';
import type { AwaitedCalls, BatchCall } from './peerMessages';

/** A submitter that has not been heard for this long is taken to be gone. */
const SILENT_AFTER_MS = 700;
/**
 * After a pause of this process a submitter has this much time to be heard: it asks each 150 ms. Its runs
 * went on during the pause, and its clients may send their jobs again 1300 ms after they lost it.
 */
const HEARD_AFTER_PAUSE_MS = 300;

interface Submitter {
  heardAtMs: number;
  /** It was given more time after a pause of this process; once until it is heard. */
  excused: boolean;
  /** Found silent since it was last heard. */
  silent: boolean;
  /** Calls up to this number are awaited only if they are among `numbers`. */
  upTo: number;
  numbers: ReadonlySet<number>;
  /** When the last question was sent that said so. */
  askedAt: ClockReading;
}

const NEVER: ClockReading = { steadyMs: -Infinity, dayMs: -Infinity };

function keyOf({ hostId, incarnation }: HostIdentity): string {
  return `${hostId}/${incarnation}`;
}

/** Submitters, by process. */
export class SubmitterTracker {
  readonly #known = new Map<string, Submitter>();

  /** Notes a sign of life. */
  recordContact(from: HostIdentity, nowMs: number): void {
    const submitter = this.#submitter(from, nowMs);
    submitter.heardAtMs = nowMs;
    submitter.excused = false;
    submitter.silent = false;
  }

  /** Takes what a submitter, at `sentAt`, says it waits for; what it said later stays in force. */
  updateAwaitedCalls(
    from: HostIdentity,
    { upTo, numbers }: AwaitedCalls,
    sentAt: ClockReading,
    nowMs: number,
  ): void {
    const submitter = this.#submitter(from, nowMs);
    if (upTo < submitter.upTo) return;
    submitter.askedAt = laterReading(submitter.askedAt, sentAt);
    // Of two questions that overtook each other, with no call begun between, both say what was given up.
    const isSame = upTo === submitter.upTo;
    const awaited = isSame ? numbers.filter((number) => submitter.numbers.has(number)) : numbers;
    submitter.upTo = upTo;
    submitter.numbers = new Set(awaited);
  }

  /** When the last question was sent that said what the submitter waits for. */
  lastStatusRequestAt(from: HostIdentity): ClockReading {
    return this.#known.get(keyOf(from))?.askedAt ?? NEVER;
  }

  /** False if the submitter has said that it does not wait for the call any more. */
  isAwaited({ from, number }: BatchCall): boolean {
    const known = this.#known.get(keyOf(from));
    // Hosts of an earlier version do not number their calls.
    if (!known || number === undefined) return true;
    return number > known.upTo || known.numbers.has(number);
  }

  isSilent(from: HostIdentity, nowMs: number): boolean {
    const known = this.#known.get(keyOf(from));
    return known !== undefined && nowMs - known.heardAtMs > SILENT_AFTER_MS;
  }

  /** True the first time since the submitter was last heard. */
  markSilent(from: HostIdentity): boolean {
    const known = this.#known.get(keyOf(from));
    if (!known || known.silent) return false;
    known.silent = true;
    return true;
  }

  /** After a pause of this process: what was not heard in that time says little. */
  resume(nowMs: number): void {
    const heardAtMs = nowMs - SILENT_AFTER_MS + HEARD_AFTER_PAUSE_MS;
    this.#known.forEach((submitter) => {
      if (submitter.excused) return;
      const resumed = submitter;
      resumed.heardAtMs = Math.max(submitter.heardAtMs, heardAtMs);
      resumed.excused = true;
    });
  }

  #submitter(from: HostIdentity, nowMs: number): Submitter {
    const key = keyOf(from);
    const known = this.#known.get(key);
    if (known) return known;
    const submitter = {
      heardAtMs: nowMs,
      excused: false,
      silent: false,
      upTo: 0,
      numbers: new Set<number>(),
      askedAt: NEVER,
    };
    this.#known.set(key, submitter);
    return submitter;
  }
}
