/**
 * Hands out the free slots of a domain: chooses the kind of work by the fair shares, the request by
 * its due time and the worker by its free slots, until nothing more can be granted.
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

/** Grant ids start at a random number, so that those of two schedulers do not meet. */
const GRANT_ID_RANGE = 2 ** 52;
/** Requests that fit on no worker now hold up those of their host behind this many. */
const REQUESTS_TRIED_PER_HOST = 4;

/** What a granter works on. */
export interface GranterParts {
  readonly options: CoreOptions;
  readonly random: RandomSource;
  readonly outbox: Outbox;
  readonly slots: DomainSlots;
  readonly queues: SlotQueues;
  readonly estimates: RunTimeEstimates;
}

/** State of one pass; nothing else changes the slots meanwhile. */
interface Pass {
  readonly capacity: number;
  freeSlots: number;
  /** Kinds with waiting tasks that have not been set aside. */
  leaves: readonly LeafQueue[];
  /** Hosts, by kind, whose requests fit on no worker now. */
  readonly blockedHosts: Map<string, Set<string>>;
  readonly nowMs: number;
}

/** Grants by request, of one pass. */
export type GrantsByRequest = ReadonlyMap<QueuedRequest, readonly Grant[]>;

/** Grants free slots to waiting requests. */
export class Granter {
  readonly #parts: GranterParts;

  #nextGrantId: number;

  #passed = new Map<QueuedRequest, Grant[]>();

  constructor(parts: GranterParts) {
    this.#parts = parts;
    this.#nextGrantId = Math.floor(parts.random.next() * GRANT_ID_RANGE);
  }

  /** Grants all that can be granted now. */
  pass(nowMs: number): GrantsByRequest {
    const { slots, queues } = this.#parts;
    this.#passed = new Map();
    if (queues.tasks() === 0) return this.#passed;
    slots.shares.advance(nowMs);
    const pass: Pass = {
      capacity: slots.workers.capacity(),
      freeSlots: slots.workers.totalFree(),
      leaves: queues.waiting(),
      blockedHosts: new Map(),
      nowMs,
    };
    while (pass.freeSlots > 0 && this.#grantNext(pass));
    return this.#passed;
  }

  /** False when nothing more can be granted. A kind none of whose requests fits is set aside. */
  #grantNext(pass: Pass): boolean {
    const current = pass;
    const { shares } = this.#parts.slots;
    const contenders = this.#contenders(current);
    const choice = shares.choose(this.#withoutLong(contenders, current.capacity), current.capacity);
    if (!choice) return false;
    if (this.#grantTo(choice, current)) {
      current.freeSlots -= 1;
    } else {
      current.leaves = current.leaves.filter((leaf) => leaf !== choice.contender);
    }
    return true;
  }

  #contenders({ leaves, freeSlots, capacity }: Pass): readonly LeafQueue[] {
    const { slots } = this.#parts;
    const { shares } = slots;
    const lendable = freeSlots > slots.reserve(capacity);
    return leaves.filter(
      ({ tasks, team }) =>
        tasks > 0 && shares.withinQuota(team) && (lendable || shares.belowShare(team, capacity)),
    );
  }

  /** Holds long kinds back once they hold their part of the slots while shorter work waits. */
  #withoutLong(contenders: readonly LeafQueue[], capacity: number): readonly LeafQueue[] {
    const { options, queues, estimates, slots } = this.#parts;
    if (!options.guards.longTaskCap) return contenders;
    const isLong = ({ leaf }: LeafQueue) => estimates.meanMs(leaf) > options.longTaskMs;
    const short = contenders.filter((queue) => !isLong(queue));
    if (short.length === 0 || short.length === contenders.length) return contenders;
    const longSlots = [...queues.leaves()]
      .filter(isLong)
      .reduce((sum, { leaf }) => sum + slots.shares.usedByLeaf(leaf), 0);
    return longSlots >= capacity * options.longTaskFraction ? short : contenders;
  }

  #grantTo(choice: Choice<LeafQueue>, { blockedHosts, nowMs }: Pass): boolean {
    const { slots } = this.#parts;
    const { leaf } = choice.contender;
    const blocked = blockedHosts.get(leaf) ?? new Set();
    blockedHosts.set(leaf, blocked);
    const slotsPerHost = slots.slotsPerHost();
    let worker: WorkerEntry | null = null;
    const accepts = ({ host, resources }: QueuedRequest) => {
      worker = slots.workers.choose(host, resources, slotsPerHost);
      return worker !== null;
    };
    const request = choice.contender.firstWhere(accepts, REQUESTS_TRIED_PER_HOST, blocked);
    if (!request || !worker) return false;
    this.#grant(request, worker, choice, nowMs);
    return true;
  }

  #grant(
    request: QueuedRequest,
    worker: WorkerEntry,
    { contender, rule }: Choice<LeafQueue>,
    nowMs: number,
  ): void {
    const { queues, slots, outbox } = this.#parts;
    queues.take(request, 1);
    this.#nextGrantId += 1;
    const grantId = this.#nextGrantId;
    const { host, leaf, resources, requestId } = request;
    const { team, kind } = contender;
    const workerId = worker.id;
    slots.use(worker, { grantId, host, workerId, team, leaf, resources, grantedAtMs: nowMs });
    const grants = this.#passed.get(request);
    const grant = { grantId, worker: toRef(worker) };
    if (grants) grants.push(grant);
    else this.#passed.set(request, [grant]);
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
