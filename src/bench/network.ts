/**
 * Delays between the processes of a run, and domains that are cut off. What waits in an open
 * connection while its path is cut arrives when the path heals, late starts among it.
 */
import type { FleetShape } from './fleet';
import type { Timeline } from './timeline';

interface Held {
  readonly from: string;
  readonly to: string;
  readonly run: () => void;
}

/** Paths between domains. */
export class Network {
  readonly #shape: FleetShape;

  readonly #timeline: Timeline;

  readonly #cut = new Set<string>();

  #held: Held[] = [];

  constructor(shape: FleetShape, timeline: Timeline) {
    this.#shape = shape;
    this.#timeline = timeline;
  }

  delayMs(from: string, to: string): number {
    return from === to ? this.#shape.sameDomainMs : this.#shape.betweenDomainsMs;
  }

  /** Whether no packet passes between two domains. A cut domain still reaches its own hosts. */
  blocked(from: string, to: string): boolean {
    return from !== to && (this.#cut.has(from) || this.#cut.has(to));
  }

  /** Delivers after the delay of the path, or after it has healed. */
  deliver(from: string, to: string, run: () => void): void {
    this.#timeline.after(this.delayMs(from, to), () => {
      if (this.blocked(from, to)) {
        this.#held.push({ from, to, run });
      } else {
        run();
      }
    });
  }

  /** Delivers after the delay of the path unless it is cut by then. */
  deliverOrDrop(from: string, to: string, run: () => void): void {
    this.#timeline.after(this.delayMs(from, to), () => {
      if (!this.blocked(from, to)) {
        run();
      }
    });
  }

  cut(domain: string): void {
    this.#cut.add(domain);
  }

  heal(domain: string): void {
    this.#cut.delete(domain);
    const held = this.#held;
    this.#held = held.filter(({ from, to }) => this.blocked(from, to));
    held.filter(({ from, to }) => !this.blocked(from, to)).forEach(({ run }) => run());
  }
}
