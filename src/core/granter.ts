/**
 * Grants the free slots of a domain. Each grant selects a kind of work by fair shares, then a
 * request of that kind by due time, then a worker by its free slots, until nothing more can be
 * granted.
 */
import type { RandomSource } from './clock';
import type { RunTimeEstimates } from './estimates';
import type { DomainSlots } from './domainSlots';
import type { Choice } from './fairness';
import type { LeafQueue, QueuedRequest } from './leafQueue';
import type { Grant } from './messages';
import type { CoreOptions } from './options';
import type { Outbox } from './outbox';
import type { SlotQueues } from './slotQueues';
import { toRef, type WorkerEntry } from './workerTable';

/**
 * Grant ids count up from a random number below this, so that ids of two schedulers do not collide.
 */
const GRANT_ID_RANGE = 2 ** 52;
/**
 * Requests of one host and kind that are tried for a grant. If none of them fits on a worker, the
 * requests queued behind them wait for a later pass too.
 */
const REQUESTS_TRIED_PER_HOST = 4;

/** Dependencies of a granter. */
export interface GranterParts {
  readonly options: CoreOptions;
  readonly random: RandomSource;
  readonly outbox: Outbox;
  readonly slots: DomainSlots;
  readonly queues: SlotQueues;
  readonly estimates: RunTimeEstimates;
}

/** State of one pass over the queues. Nothing else changes the slots during a pass. */
interface GrantPass {
  readonly capacity: number;
  freeSlots: number;
  /** Queues with waiting tasks, without those of which no request fits on a worker. */
  leaves: readonly LeafQueue[];
  /** Hosts whose requests fit on no worker now, by kind of work. */
  readonly blockedHosts: Map<string, Set<string>>;
  readonly nowMs: number;
}

/** Grants of one pass, by request. */
export type GrantsByRequest = ReadonlyMap<QueuedRequest, readonly Grant[]>;

/** Grants free slots to waiting requests. */
export class Granter {
  readonly #parts: GranterParts;

  #nextGrantId: number;

  #grants = new Map<QueuedRequest, Grant[]>();

  constructor(parts: GranterParts) {
    this.#parts = parts;
    this.#nextGrantId = Math.floor(parts.random.next() * GRANT_ID_RANGE);
  }

  /** Grants free slots until none is left or no waiting request fits. */
  grantFreeSlots(nowMs: number): GrantsByRequest {
    const { slots, queues } = this.#parts;
    this.#grants = new Map();
    if (queues.tasks() === 0) return this.#grants;
    slots.shares.updateAverages(nowMs);
    const pass: GrantPass = {
      capacity: slots.workers.capacity(),
      freeSlots: slots.workers.totalFree(),
      leaves: queues.nonEmpty(),
      blockedHosts: new Map(),
      nowMs,
    };
    while (pass.freeSlots > 0 && this.#grantNext(pass));
    return this.#grants;
  }

  /**
   * Makes one grant, or removes a kind none of whose requests fits from the pass. False when
   * nothing more can be granted.
   */
  #grantNext(pass: GrantPass): boolean {
    const current = pass;
    const { shares } = this.#parts.slots;
    const candidates = this.#candidates(current);
    const choice = shares.choose(
      this.#applyLongTaskCap(candidates, current.capacity),
      current.capacity,
    );
    if (!choice) return false;
    if (this.#grantTo(choice, current)) {
      current.freeSlots -= 1;
    } else {
      current.leaves = current.leaves.filter((leaf) => leaf !== choice.candidate);
    }
    return true;
  }

  #candidates({ leaves, freeSlots, capacity }: GrantPass): readonly LeafQueue[] {
    const { slots } = this.#parts;
    const { shares } = slots;
    const aboveReserve = freeSlots > slots.reserve(capacity);
    return leaves.filter(
      ({ tasks, team }) =>
        tasks > 0 &&
        shares.withinQuota(team) &&
        (aboveReserve || shares.belowShare(team, capacity)),
    );
  }

  /**
   * Leaves out kinds with long tasks while kinds with short tasks wait and long tasks use the
   * configured fraction of the slots or more.
   */
  #applyLongTaskCap(candidates: readonly LeafQueue[], capacity: number): readonly LeafQueue[] {
    const { options, queues, estimates, slots } = this.#parts;
    if (!options.guards.longTaskCap) return candidates;
    const isLong = ({ leaf }: LeafQueue) => estimates.meanMs(leaf) > options.longTaskMs;
    const short = candidates.filter((queue) => !isLong(queue));
    if (short.length === 0 || short.length === candidates.length) return candidates;
    const longSlots = [...queues.leaves()]
      .filter(isLong)
      .reduce((sum, { leaf }) => sum + slots.shares.usedByLeaf(leaf), 0);
    return longSlots >= capacity * options.longTaskFraction ? short : candidates;
  }

  #grantTo(choice: Choice<LeafQueue>, { blockedHosts, nowMs }: GrantPass): boolean {
    const { slots } = this.#parts;
    const { leaf } = choice.candidate;
    const blocked = blockedHosts.get(leaf) ?? new Set();
    blockedHosts.set(leaf, blocked);
    const slotsPerHost = slots.slotsPerHost();
    let worker: WorkerEntry | null = null;
    const accepts = ({ host, resources }: QueuedRequest) => {
      worker = slots.workers.choose(host, resources, slotsPerHost);
      return worker !== null;
    };
    const request = choice.candidate.firstWhere(accepts, REQUESTS_TRIED_PER_HOST, blocked);
    if (!request || !worker) return false;
    this.#grant(request, worker, choice, nowMs);
    return true;
  }

  #grant(
    request: QueuedRequest,
    worker: WorkerEntry,
    { candidate, rule }: Choice<LeafQueue>,
    nowMs: number,
  ): void {
    const { queues, slots, outbox } = this.#parts;
    queues.take(request, 1);
    this.#nextGrantId += 1;
    const grantId = this.#nextGrantId;
    const { host, leaf, resources, requestId } = request;
    const { team, kind } = candidate;
    const workerId = worker.id;
    slots.allocate(worker, { grantId, host, workerId, team, leaf, resources, grantedAtMs: nowMs });
    const grants = this.#grants.get(request);
    const grant = { grantId, worker: toRef(worker) };
    if (grants) grants.push(grant);
    else this.#grants.set(request, [grant]);
    const waitedMs = nowMs - request.arrivedAtMs;
    outbox.decide('grant', rule, {
      grantId,
      requestId,
      host,
      worker: workerId,
      team,
      kind,
      waitedMs,
    });
  }
}
