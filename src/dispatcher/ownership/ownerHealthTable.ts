/** Whether the owner of each cell answers this host, and since when the cell has had this owner. */
import type { Clock } from '../../core/clock';
import type { DispatchJournal } from '../journal';
import type { CellRecord, HostIdentity } from './cellRecord';
import { OwnerHealth } from './claimPolicy';

/** Dependencies of `OwnerHealthTable`. */
export interface OwnerHealthTableParts {
  readonly self: HostIdentity;
  readonly clock: Clock;
  readonly journal: DispatchJournal;
  /** Health of another host as the owner of a cell, from its answers to status calls. */
  readonly healthOf: (owner: HostIdentity, cell: string, nowMs: number) => OwnerHealth;
  /** Called when the owner of a cell is found to be gone. */
  readonly onGone: (record: CellRecord) => void;
}

/** An owner that is alive answers its first status call within this time. */
const FIRST_ANSWER_MS = 150;

/** Health of the owners of all cells. */
export class OwnerHealthTable {
  readonly #parts: OwnerHealthTableParts;

  readonly #health = new Map<string, OwnerHealth>();

  /** When this process learned of the present owner of each cell. */
  readonly #sinceMs = new Map<string, number>();

  constructor(parts: OwnerHealthTableParts) {
    this.#parts = parts;
  }

  of(cell: string): OwnerHealth {
    return this.#health.get(cell) ?? OwnerHealth.unknown;
  }

  /** The cell has another owner from now on. */
  ownerChanged(cell: string): void {
    this.#sinceMs.set(cell, this.#parts.clock.nowMs());
  }

  /** Cells whose present owner became known within the last `periodMs`. */
  changedWithin(periodMs: number): readonly string[] {
    const fromMs = this.#parts.clock.nowMs() - periodMs;
    return [...this.#sinceMs].flatMap(([cell, atMs]) => (atMs > fromMs ? [cell] : []));
  }

  /** False if the owner is gone, or has not answered a status call for too long. */
  mayAnswer(cell: string): boolean {
    const health = this.of(cell);
    if (health === OwnerHealth.serving) return true;
    if (health === OwnerHealth.gone) return false;
    const sinceMs = this.#sinceMs.get(cell) ?? -Infinity;
    return this.#parts.clock.nowMs() - sinceMs <= FIRST_ANSWER_MS;
  }

  refresh(records: readonly CellRecord[], nowMs: number): void {
    records.forEach((record) => this.#refresh(record, nowMs));
  }

  #refresh(record: CellRecord, nowMs: number): void {
    const { self, journal, healthOf, onGone } = this.#parts;
    const { cell, owner } = record;
    if (owner.address === self.address) {
      // The owner is an earlier process of this host, or this process has already released the
      // cell.
      this.#health.set(cell, OwnerHealth.gone);
      return;
    }
    const before = this.#health.get(cell);
    const health = healthOf(owner, cell, nowMs);
    this.#health.set(cell, health);
    if (before === health) return;
    journal.logDecision('owner-health', { cell, owner: owner.hostId, health });
    if (health === OwnerHealth.gone) onGone(record);
  }
}
