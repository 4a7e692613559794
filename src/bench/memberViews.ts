/**
 * The member list as each host sees it: a peer counts as dead once it has been out of reach for the
 * detection delay, and as alive again shortly after it is back within reach.
 */
import type { Member } from '../core/messages';
import type { EntryHost } from './entryHost';
import type { Network } from './network';
import type { Timeline } from './timeline';

/** From a host's death to the change of the others' lists. */
export const DETECTION_MS = 700;
/** From a host's return to the change of the others' lists. */
export const RETURN_MS = 300;

interface View {
  reachable: boolean;
  changedAtMs: number;
  state: Member['state'];
}

/** Lists of all hosts. */
export class MemberViews {
  readonly #hosts: readonly EntryHost[];

  readonly #network: Network;

  readonly #timeline: Timeline;

  readonly #views = new Map<string, View>();

  readonly #told = new Map<string, string>();

  constructor(hosts: readonly EntryHost[], network: Network, timeline: Timeline) {
    this.#hosts = hosts;
    this.#network = network;
    this.#timeline = timeline;
  }

  reachable(from: EntryHost, to: EntryHost): boolean {
    return to.phase === 'up' && !this.#network.blocked(from.domain, to.domain);
  }

  /** To be called after every change of hosts and paths. */
  changed(): void {
    this.#refresh();
    this.#timeline.after(RETURN_MS, () => this.#refresh());
    this.#timeline.after(DETECTION_MS, () => this.#refresh());
  }

  /** Sends the list to a host that has just started. */
  introduce(host: EntryHost): void {
    this.#hosts.forEach((peer) => {
      const reachable = this.reachable(host, peer);
      this.#views.set(`${host.id} ${peer.id}`, {
        reachable,
        changedAtMs: this.#timeline.nowMs(),
        state: reachable ? 'alive' : 'dead',
      });
    });
    this.#told.delete(host.id);
    this.#tell(host);
  }

  /** Whether a membership round trip of this host succeeds now. */
  canConfirm(host: EntryHost): boolean {
    const others = this.#hosts.filter((peer) => peer !== host);
    return others.length === 0 || others.some((peer) => this.reachable(host, peer));
  }

  #refresh(): void {
    this.#hosts
      .filter((host) => host.phase === 'up')
      .forEach((host) => {
        this.#hosts.forEach((peer) => this.#look(host, peer));
        this.#tell(host);
      });
  }

  #look(host: EntryHost, peer: EntryHost): void {
    const nowMs = this.#timeline.nowMs();
    const reachable = host === peer || this.reachable(host, peer);
    const view = this.#views.get(`${host.id} ${peer.id}`);
    if (view === undefined) {
      return;
    }
    if (view.reachable !== reachable) {
      view.reachable = reachable;
      view.changedAtMs = nowMs;
    }
    const forMs = nowMs - view.changedAtMs;
    if (reachable && (view.state !== 'dead' || forMs >= RETURN_MS)) {
      view.state = peer.draining ? 'leaving' : 'alive';
    } else if (!reachable && forMs >= DETECTION_MS) {
      view.state = 'dead';
    }
  }

  #tell(host: EntryHost): void {
    const members = this.#hosts.map((peer) => ({
      hostId: peer.id,
      incarnation: peer.incarnation,
      domain: peer.domain,
      peerAddress: `${peer.id}:90`,
      state: this.#views.get(`${host.id} ${peer.id}`)?.state ?? 'dead',
      sequence: peer.sequence,
    }));
    const text = JSON.stringify(members);
    if (this.#told.get(host.id) !== text) {
      this.#told.set(host.id, text);
      host.deliver({ type: 'members', members });
    }
  }
}
