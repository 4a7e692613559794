/**
 * Probes the workers of other failure domains, to find out whether this host could serve them. A few
 * workers are probed at a time: the one that answered last, and the next ones of the list. So every
 * worker has its turn, however many entries there are whose workers do not answer, and hosts begin at
 * different workers.
 */
import type { WorkerEntry } from '../../cells/worker';
import type { RandomSource } from '../../core/clock';
import type { DispatchJournal } from '../journal';
import type { Platform } from '../platform';
import type { RenewRequest } from './workerClient';

/** Dependencies of `DomainProbes`. */
export interface DomainProbesParts {
  readonly platform: Pick<Platform, 'workers' | 'workerClient'>;
  readonly random: RandomSource;
  readonly journal: DispatchJournal;
  /** False for a service that the configuration does not name, whose workers are not used. */
  readonly namesService: (service: string) => boolean;
}

/** What is known of the workers of one domain. */
interface ProbedDomain {
  /** The probe in progress; null between probes. */
  probe: Promise<boolean> | null;
  /** Where the next probe goes on in the list; null before the first one. */
  nextIndex: number | null;
  /** The worker that answered last; null if none did in the last probe. */
  answeredId: string | null;
}

const WORKERS_PER_PROBE = 3;
/**
 * Renewal with the lowest fencing token, sent only to see whether a worker answers. A worker that
 * already has an owner rejects it as fenced.
 */
const PROBE_REQUEST: RenewRequest = {
  fencingToken: 0,
  acknowledged: 0,
  leaseEndClockMs: null,
  waitMs: 0,
};

/** Finds out whether workers of a domain can be reached. */
export class DomainProbes {
  readonly #parts: DomainProbesParts;

  readonly #domains = new Map<string, ProbedDomain>();

  constructor(parts: DomainProbesParts) {
    this.#parts = parts;
  }

  /**
   * True if a worker of the domain answers. The cells of a domain share a probe that is in progress.
   */
  async reaches(domain: string): Promise<boolean> {
    const state = this.#domains.get(domain) ?? { probe: null, nextIndex: null, answeredId: null };
    this.#domains.set(domain, state);
    state.probe ??= this.#probe(domain, state);
    try {
      return await state.probe;
    } finally {
      state.probe = null;
    }
  }

  async #probe(domain: string, domainState: ProbedDomain): Promise<boolean> {
    const state = domainState;
    const { platform, journal, namesService } = this.#parts;
    const listed = await platform.workers.list();
    if (listed.err) return false;
    const candidates = listed.val.filter(
      (worker) => worker.domain === domain && namesService(worker.service),
    );
    const sample = this.#nextSample(candidates, state);
    const answers = await Promise.all(
      sample.map((worker) => platform.workerClient.renew(worker, PROBE_REQUEST)),
    );
    const answered = sample.find((_, index) => answers[index]?.type !== 'silent');
    state.answeredId = answered?.id ?? null;
    if (!answered) {
      const probed = sample.map(({ id }) => id);
      journal.logDecision('domain-unreached', { domain, probed, workers: candidates.length });
    }
    return answered !== undefined;
  }

  #nextSample(candidates: readonly WorkerEntry[], domainState: ProbedDomain): WorkerEntry[] {
    const state = domainState;
    const { length } = candidates;
    const last = candidates.find(({ id }) => id === state.answeredId);
    const sample = last ? [last] : [];
    const firstIndex = state.nextIndex ?? Math.floor(this.#parts.random.next() * length);
    const turns = Math.min(length, WORKERS_PER_PROBE - sample.length);
    for (let turn = 0; turn < turns; turn += 1) {
      const next = candidates[(firstIndex + turn) % length];
      if (next && next !== last) sample.push(next);
    }
    state.nextIndex = length === 0 ? null : (firstIndex + turns) % length;
    return sample;
  }
}
