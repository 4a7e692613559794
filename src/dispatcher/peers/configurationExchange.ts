/**
 * Passes configurations between hosts, for those that can't read them from the platform or would
 * read them late. Hosts tell each other the version that they have in force; one that is behind asks
 * for the configuration. A host asks one other host at a time, and first leaves some time to the
 * platform, because all hosts learn of a new version at once and a configuration can be large: asked
 * for without limits, the copies would crowd each other out on the links of the hosts.
 */
import type { Clock } from '../../core/clock';
import type { DispatchJournal } from '../journal';
import type { QueueConfiguration, QueueTable } from '../jobs/queueTable';
import type { PeerClient } from './peerClient';

/** Dependencies of `ConfigurationExchange`. */
export interface ConfigurationExchangeParts {
  readonly queues: QueueTable;
  readonly peers: Pick<PeerClient, 'configuration'>;
  readonly clock: Clock;
  readonly journal: DispatchJournal;
}

/** A newer version than the one in force, and a host that has it. */
interface NewerVersion {
  readonly version: number;
  /** The host that was heard last to have it; null once it has been asked. */
  readonly address: string | null;
  /** Since when this host has known that it is behind. */
  readonly sinceMs: number;
}

/** Time that a host leaves to the platform to bring a newer configuration. */
const PLATFORM_FIRST_MS = 500;
/** The same for the first configuration, for which callers wait. */
const PLATFORM_FIRST_AT_START_MS = 200;

/** The configuration of this host, and how it gets newer ones from other hosts. */
export class ConfigurationExchange {
  readonly #parts: ConfigurationExchangeParts;

  #newer: NewerVersion | null = null;

  #isAsking = false;

  #closed = false;

  constructor(parts: ConfigurationExchangeParts) {
    this.#parts = parts;
  }

  /** Version in force; 0 if there is none. */
  get version(): number {
    return this.#parts.queues.version;
  }

  /** For how long this host has known of a newer version than the one in force; 0 if of none. */
  get behindMs(): number {
    return this.#newer ? this.#parts.clock.nowMs() - this.#newer.sinceMs : 0;
  }

  /** Puts a configuration in force if it is newer than the present one. */
  apply(configuration: QueueConfiguration, source: string): void {
    if (!this.#parts.queues.apply(configuration)) return;
    this.#parts.journal.logDecision('configuration-in-force', {
      version: configuration.version,
      queues: configuration.bindings.length,
      source,
      behindMs: Math.round(this.behindMs),
    });
    if (this.#newer && this.#newer.version <= this.version) this.#newer = null;
  }

  /** Another host has this version in force. */
  learn(version: number, address: string): void {
    if (this.#closed || !Number.isFinite(version) || version <= this.version) return;
    this.#parts.queues.noteVersion(version);
    if (!this.#newer) this.#reportBehind(version, address);
    const sinceMs = this.#newer?.sinceMs ?? this.#parts.clock.nowMs();
    if (version >= (this.#newer?.version ?? 0)) this.#newer = { version, address, sinceMs };
  }

  close(): void {
    this.#closed = true;
  }

  /**
   * Asks the host that was heard last to have a newer version, if the platform has had its time and
   * no host is being asked. Each host is asked once until it is heard again.
   */
  async askIfDue(): Promise<void> {
    if (this.#closed || this.#isAsking || !this.#newer?.address) return;
    const platformFirstMs = this.version === 0 ? PLATFORM_FIRST_AT_START_MS : PLATFORM_FIRST_MS;
    if (this.behindMs < platformFirstMs) return;
    const { address } = this.#newer;
    this.#newer = { ...this.#newer, address: null };
    this.#isAsking = true;
    const configuration = await this.#parts.peers.configuration(address);
    this.#isAsking = false;
    if (configuration && !this.#closed) this.apply(configuration, address);
  }

  #reportBehind(newerVersion: number, address: string): void {
    const { version } = this;
    this.#parts.journal.logDecision('configuration-behind', { version, newerVersion, address });
  }
}
