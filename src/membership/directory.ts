/**
 * Directory of hosts in the store: registers this host under a lease and lists the other hosts.
 * Nothing waits for it: while the store is unavailable, hosts that know each other keep working.
 *
 * Store calls per host: 0.2 per second in steady state (one renewal and one list every 10 s), which
 * is 14.4 per second for 72 hosts. A registration adds 2 calls. While the store fails, a host makes
 * one call per second.
 */
import type { Member } from '../core/messages';
import type { Log } from '../observe/observer';
import { StoreErrorCode, type Store } from '../store/store';
import { memberFromJson, memberToJson } from './memberJson';

const LEASE_DURATION_MS = 30_000;
const REFRESH_PERIOD_MS = 10_000;
const RETRY_PERIOD_MS = 2000;

/** Options of a directory. */
export interface DirectoryOptions {
  readonly store: Store;
  readonly service: string;
  readonly self: Member;
  /** Called with the other hosts after each successful list. */
  readonly onHosts: (members: readonly Member[]) => void;
  readonly log?: Log;
}

/** Key prefix of the hosts of a service. */
export const hostsPrefix = (service: string): string => `/wasabiyoke/${service}/hosts/`;

/** Keeps this host registered and polls the list of hosts. */
export class Directory {
  readonly #options: DirectoryOptions;

  #leaseId: number | null = null;

  #registered = false;

  #isFailing = false;

  #timer: NodeJS.Timeout | null = null;

  #currentRound: Promise<void> = Promise.resolve();

  #closed = false;

  constructor(options: DirectoryOptions) {
    this.#options = options;
  }

  /** Starts the refresh loop in the background. */
  open(): void {
    this.#currentRound = this.#run();
  }

  /** Stops the loop and revokes the lease, which removes the entry of this host. */
  async close(): Promise<void> {
    this.#closed = true;
    if (this.#timer !== null) clearTimeout(this.#timer);
    await this.#currentRound;
    const leaseId = this.#leaseId;
    this.#leaseId = null;
    this.#registered = false;
    if (leaseId !== null) await this.#options.store.revokeLease(leaseId);
  }

  /**
   * Renews the lease or registers, then lists the hosts. Returns the delay until the next refresh
   * in milliseconds. Makes at most 4 store calls; 2 in steady state.
   */
  async step(): Promise<number> {
    const registered = await this.#ensureRegistered();
    const listed = await this.#list();
    const failing = !registered || !listed;
    if (failing !== this.#isFailing) {
      this.#isFailing = failing;
      if (failing) this.#options.log?.warn('host directory unavailable', { registered, listed });
      else this.#options.log?.info('host directory available');
    }
    return failing ? RETRY_PERIOD_MS : REFRESH_PERIOD_MS;
  }

  async #run(): Promise<void> {
    const delayMs = await this.step();
    if (this.#closed) return;
    this.#timer = setTimeout(() => {
      this.#currentRound = this.#run();
    }, delayMs);
    this.#timer.unref();
  }

  /** Renews the lease; registers if there is no lease or it has expired. */
  async #ensureRegistered(): Promise<boolean> {
    if (this.#leaseId !== null) {
      const renewed = await this.#options.store.renewLease(this.#leaseId);
      // The lease may still be valid if the store is unreachable; the next refresh tries again.
      if (renewed.err && renewed.val.code !== StoreErrorCode.refused) return false;
      if (renewed.err || !renewed.val) {
        this.#options.log?.warn('host lease lapsed', { leaseId: this.#leaseId });
        this.#leaseId = null;
        this.#registered = false;
      }
    }
    return this.#registered || this.#register();
  }

  async #register(): Promise<boolean> {
    const { store, service, self } = this.#options;
    if (this.#leaseId === null) {
      const granted = await store.grantLease(LEASE_DURATION_MS);
      if (granted.err) return false;
      this.#leaseId = granted.val;
    }
    const key = `${hostsPrefix(service)}${self.hostId}`;
    const put = await store.putWithLease(key, memberToJson(self), this.#leaseId);
    if (put.err && put.val.code === StoreErrorCode.refused) this.#leaseId = null;
    this.#registered = put.ok;
    return put.ok;
  }

  async #list(): Promise<boolean> {
    const { store, service, self, onHosts, log } = this.#options;
    const entries = await store.list(hostsPrefix(service));
    if (entries.err) return false;
    const members = entries.val.map(({ key, value }) => {
      const member = memberFromJson(value);
      if (member === null) log?.warn('host entry malformed', { key });
      return member;
    });
    onHosts(
      members.filter((member) => member !== null && member.hostId !== self.hostId) as Member[],
    );
    return true;
  }
}
