/**
 * Directory of hosts in the store: registers this host under a lease and reads the others. Nothing
 * waits for it: without the store, hosts that know each other go on.
 *
 * Store calls of one host: 0.2 a second in steady state (a renewal and a list every 10 s), 14.4 a
 * second for 72 hosts. A registration is 2 more. While the store fails: one a second.
 */
import type { Member } from '../core/messages';
import type { Log } from '../observe/observer';
import { StoreErrorCode, type Store } from '../store/store';
import { memberFromJson, memberToJson } from './memberJson';

const LEASE_MS = 30_000;
const PERIOD_MS = 10_000;
const RETRY_MS = 2000;

/** Construction of a directory. */
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

/** Directory of this host. */
export class Directory {
  readonly #options: DirectoryOptions;

  #leaseId: number | null = null;

  #registered = false;

  #failing = false;

  #timer: NodeJS.Timeout | null = null;

  #round: Promise<void> = Promise.resolve();

  #closed = false;

  constructor(options: DirectoryOptions) {
    this.#options = options;
  }

  /** Starts to run in the background. */
  open(): void {
    this.#round = this.#run();
  }

  /** Ends the registration, so that others stop finding this host. */
  async close(): Promise<void> {
    this.#closed = true;
    if (this.#timer !== null) clearTimeout(this.#timer);
    await this.#round;
    const leaseId = this.#leaseId;
    this.#leaseId = null;
    this.#registered = false;
    if (leaseId !== null) await this.#options.store.revokeLease(leaseId);
  }

  /**
   * One round: renews the lease or registers, then lists. Returns the time until the next round in
   * milliseconds. At most 4 calls of the store; 2 in steady state.
   */
  async step(): Promise<number> {
    const registered = await this.#keepRegistered();
    const listed = await this.#list();
    const failing = !registered || !listed;
    if (failing !== this.#failing) {
      this.#failing = failing;
      if (failing) this.#options.log?.warn('host directory unavailable', { registered, listed });
      else this.#options.log?.info('host directory available');
    }
    return failing ? RETRY_MS : PERIOD_MS;
  }

  async #run(): Promise<void> {
    const delayMs = await this.step();
    if (this.#closed) return;
    this.#timer = setTimeout(() => {
      this.#round = this.#run();
    }, delayMs);
    this.#timer.unref();
  }

  /** Renews the lease, and registers if there is none or it has lapsed. */
  async #keepRegistered(): Promise<boolean> {
    if (this.#leaseId !== null) {
      const renewed = await this.#options.store.renewLease(this.#leaseId);
      // An unreachable store says nothing about the lease; the next round asks again.
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
      const granted = await store.grantLease(LEASE_MS);
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
