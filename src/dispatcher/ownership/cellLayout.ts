/**
 * Assignment of workers to cells. The workers of a failure domain form one cell, or several if one
 * host could not serve them all. The assignment is deterministic, so that all hosts compute the
 * same one.
 */
import type { WorkerEntry } from '../../cells/worker';
import { hashOf } from '../../core/hash';

function cellNames(domain: string, count: number): readonly string[] {
  if (count === 1) return [domain];
  return Array.from({ length: count }, (_, index) => `${domain}.${index + 1}`);
}

/** Cells of all failure domains. */
export class CellLayout {
  /** Names of all cells. */
  readonly cells: readonly string[];

  readonly #domainByCell = new Map<string, string>();

  readonly #cellsByDomain = new Map<string, ReadonlySet<string>>();

  constructor(domains: readonly string[], cellsPerDomain: number) {
    domains.forEach((domain) => {
      const cells = cellNames(domain, cellsPerDomain);
      this.#cellsByDomain.set(domain, new Set(cells));
      cells.forEach((cell) => this.#domainByCell.set(cell, domain));
    });
    this.cells = [...this.#domainByCell.keys()];
  }

  /** Names of the cells in a failure domain. */
  cellsOf(domain: string): ReadonlySet<string> | null {
    return this.#cellsByDomain.get(domain) ?? null;
  }

  /** The failure domain of a cell; null if there is no such cell. */
  domainOf(cell: string): string | null {
    return this.#domainByCell.get(cell) ?? null;
  }

  /** The cell of a worker; null if its failure domain is unknown. */
  cellOf({ id, domain }: WorkerEntry): string | null {
    const cells = [...(this.#cellsByDomain.get(domain) ?? [])];
    if (cells.length <= 1) return cells[0] ?? null;
    return cells[hashOf(id) % cells.length] ?? null;
  }
}
