/**
 * Holds the configuration in force on one host. The record in force is replaced only by a newer
 * one, so the generation never decreases. Messages may be lost or repeated: a host that learns of a
 * higher generation pulls it, and each host periodically compares its record with a random peer's.
 */
import type { Result } from 'ts-results';
import type { RandomSource } from '../core/clock';
import type { ConfigurationPull, ConfigurationPush } from '../core/messages';
import type { Finding } from '../settings/finding';
import type { Entry } from '../store/store';
import type { Configuration } from './policy';
import {
  decodeRecord,
  encodeRecord,
  fromPush,
  isNewer,
  toConfiguration,
  toPush,
  type ConfigurationRecord,
} from './record';

/** Minimum time between pulls triggered by gossip; a response takes a few ms. */
const PULL_INTERVAL_MS = 250;

/** Time between comparisons with a random peer; a pull is about 100 bytes. */
const COMPARE_INTERVAL_MS = 2000;

/** Age after which a generation reported by a peer no longer blocks publications. */
const HEARD_VALID_MS = 5000;

/** Puts a configuration in force on this host. */
export interface PutInForce {
  readonly type: 'putInForce';
  readonly record: ConfigurationRecord;
  readonly configuration: Configuration;
}

/** Sends the record to all peers of this host's domain. */
export interface PushToDomain {
  readonly type: 'pushToDomain';
  readonly message: ConfigurationPush;
}

/** Sends a message to one peer. */
export interface SendToPeer {
  readonly type: 'sendToPeer';
  readonly hostId: string;
  readonly message: ConfigurationPull | ConfigurationPush;
}

/** Replaces an older record in the store with the record in force, by compare-and-swap. */
export interface WriteBack {
  readonly type: 'writeBack';
  readonly value: string;
  readonly expectedRevision: number;
  readonly expectedValue: string | undefined;
}

/** Reports an invalid record, which is not put in force. */
export interface RejectRecord {
  readonly type: 'rejectRecord';
  readonly source: string;
  readonly message: string;
  readonly findings: readonly Finding[];
}

/**
 * Reports that a published record is overridden by one whose publisher did not know it: the store
 * lost the first record before the second was published. Operators must publish the overridden
 * change again.
 */
export interface ReportConflict {
  readonly type: 'reportConflict';
  readonly overridden: ConfigurationRecord;
  readonly by: ConfigurationRecord;
}

/** Actions that the caller performs for a replica. */
export type ReplicaAction =
  PutInForce | PushToDomain | SendToPeer | WriteBack | RejectRecord | ReportConflict;

/** True if the history of the newer record shows that it was not published over the older one. */
function conflicts(older: ConfigurationRecord, newer: ConfigurationRecord): boolean {
  const age = newer.generation - older.generation;
  const id = newer.history[newer.history.length - 1 - age];
  return id !== undefined && id !== older.publicationId;
}

function writeBack(record: ConfigurationRecord, entry: Entry | null): WriteBack {
  return {
    type: 'writeBack',
    value: encodeRecord(record),
    expectedRevision: entry?.modRevision ?? 0,
    expectedValue: entry?.value,
  };
}

/** State machine of one host. The caller performs the returned actions in order. */
export class ConfigurationReplica {
  readonly #random: RandomSource;

  #inForce: ConfigurationRecord | null = null;

  #relay = false;

  #peers: readonly string[] = [];

  #pulledAtMs = -Infinity;

  #comparedAtMs = -Infinity;

  #heard = { generation: 0, atMs: -Infinity };

  #rejectedId = '';

  #rejectedGeneration = 0;

  #overriddenId = '';

  constructor(random: RandomSource) {
    this.#random = random;
  }

  /** Record in force; null before the first. */
  get inForce(): ConfigurationRecord | null {
    return this.#inForce;
  }

  /** Generation in force; 0 before the first. */
  get generation(): number {
    return this.#inForce?.generation ?? 0;
  }

  /** Highest generation that a peer has reported in the last few seconds; 0 if none. */
  newestHeard(nowMs: number): number {
    return nowMs - this.#heard.atMs <= HEARD_VALID_MS ? this.#heard.generation : 0;
  }

  /** Only a relay takes records from the store, writes back to it and pushes to its domain. */
  setRelay(relay: boolean): void {
    this.#relay = relay;
  }

  /** Sets the hosts to compare with: all hosts of all domains. */
  setPeers(hostIds: readonly string[]): void {
    this.#peers = hostIds;
  }

  /** Handles a store entry; `mayWriteBack` is false for the answer to a write-back. */
  onStoreEntry(entry: Entry | null, mayWriteBack = true): readonly ReplicaAction[] {
    const decoded = entry === null ? null : decodeRecord(entry.value);
    if (decoded?.err) return this.#reject('store', String(entry?.modRevision), decoded.val, []);
    const stored = decoded?.val ?? null;
    if (stored !== null && isNewer(stored, this.#inForce)) return this.#accept('store', stored);
    const own = this.#inForce;
    if (own === null || !isNewer(own, stored)) return [];
    const actions: ReplicaAction[] = stored === null ? [] : [...this.#reportConflict(stored, own)];
    return this.#relay && mayWriteBack ? [...actions, writeBack(own, entry)] : actions;
  }

  /** Handles a record that this host has read or written while publishing. */
  onPublished(record: ConfigurationRecord): readonly ReplicaAction[] {
    return this.#accept('publication', record);
  }

  onPush(from: string, push: ConfigurationPush): readonly ReplicaAction[] {
    const decoded = fromPush(push);
    if (decoded.err) return this.#reject(from, push.publicationId, decoded.val, []);
    const record = decoded.val;
    const own = this.#inForce;
    if (own === null || !isNewer(own, record)) return this.#accept(from, record);
    return [...this.#reportConflict(record, own), ...this.#answer(from)];
  }

  onPull(from: string, pull: ConfigurationPull): readonly ReplicaAction[] {
    const own = this.#inForce;
    const theirs = {
      generation: pull.generation,
      publicationId: pull.publicationId ?? own?.publicationId ?? '',
    };
    if (own !== null && isNewer(own, theirs)) return this.#answer(from);
    return isNewer(theirs, own) ? [this.#pull(from)] : [];
  }

  /** Handles the generation that a peer reports in a membership message. */
  onGeneration(from: string, generation: number, nowMs: number): readonly ReplicaAction[] {
    if (generation >= this.newestHeard(nowMs)) this.#heard = { generation, atMs: nowMs };
    if (generation <= Math.max(this.generation, this.#rejectedGeneration)) return [];
    if (nowMs - this.#pulledAtMs < PULL_INTERVAL_MS) return [];
    this.#pulledAtMs = nowMs;
    return [this.#pull(from)];
  }

  /** Compares with a random peer when due; to be called about once a second. */
  onTick(nowMs: number): readonly ReplicaAction[] {
    if (nowMs - this.#comparedAtMs < COMPARE_INTERVAL_MS) return [];
    this.#comparedAtMs = nowMs;
    const peer = this.#peers[Math.floor(this.#random.next() * this.#peers.length)];
    return peer === undefined ? [] : [this.#pull(peer)];
  }

  #accept(source: string, record: ConfigurationRecord): readonly ReplicaAction[] {
    const old = this.#inForce;
    if (old !== null && !isNewer(record, old)) return this.#reportConflict(record, old);
    const configuration: Result<Configuration, readonly Finding[]> = toConfiguration(record);
    if (configuration.err) {
      this.#rejectedGeneration = record.generation;
      const message = `generation ${record.generation} is not a valid configuration`;
      return this.#reject(source, record.publicationId, message, configuration.val);
    }
    this.#inForce = record;
    const actions: ReplicaAction[] = [
      { type: 'putInForce', record, configuration: configuration.val },
    ];
    if (this.#relay) actions.push({ type: 'pushToDomain', message: toPush(record) });
    return old === null ? actions : [...actions, ...this.#reportConflict(old, record)];
  }

  /** Reports each overridden record once. */
  #reportConflict(
    overridden: ConfigurationRecord,
    by: ConfigurationRecord,
  ): readonly ReportConflict[] {
    if (!conflicts(overridden, by) || overridden.publicationId === this.#overriddenId) return [];
    this.#overriddenId = overridden.publicationId;
    return [{ type: 'reportConflict', overridden, by }];
  }

  /** Reports each invalid record once, although it is read again every few seconds. */
  #reject(
    source: string,
    id: string,
    message: string,
    findings: readonly Finding[],
  ): readonly ReplicaAction[] {
    if (id === this.#rejectedId) return [];
    this.#rejectedId = id;
    return [{ type: 'rejectRecord', source, message, findings }];
  }

  #answer(hostId: string): readonly ReplicaAction[] {
    if (this.#inForce === null) return [];
    return [{ type: 'sendToPeer', hostId, message: toPush(this.#inForce) }];
  }

  #pull(hostId: string): ReplicaAction {
    const id = this.#inForce?.publicationId;
    const pull = { type: 'configurationPull', generation: this.generation } as const;
    const message = id === undefined ? pull : { ...pull, publicationId: id };
    return { type: 'sendToPeer', hostId, message };
  }
}
