/** Assignment of workers to cells. */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { WorkerEntry } from '../../src/cells/worker';
import { CellLayout } from '../../src/dispatcher/ownership/cellLayout';
import { LayoutSelector } from '../../src/dispatcher/ownership/layoutSelector';

const DOMAINS = ['bole', 'piassa'];

function worker(id: string, domain: string): WorkerEntry {
  return {
    id,
    address: '10.0.0.9:7000',
    domain,
    service: 'service-a',
    draining: false,
    cpuMillis: 64_000,
    memoryMb: 1000,
    accelerators: 0,
    labels: [],
    processStartMs: 1,
  };
}

function workers(perDomain: number): readonly WorkerEntry[] {
  return DOMAINS.flatMap((domain) =>
    Array.from({ length: perDomain }, (_, index) => worker(`${domain}-${index}`, domain)),
  );
}

describe('the layout of cells', () => {
  it('has one cell per failure domain, with the name of the domain, if one suffices', () => {
    const layout = new CellLayout(DOMAINS, 1);
    expect(layout.cells).toEqual(DOMAINS);
    expect(layout.cellOf(worker('w', 'piassa'))).toEqual('piassa');
  });

  it('assigns every worker to a cell of its own failure domain', () => {
    const layout = new CellLayout(DOMAINS, 3);
    expect(layout.cells.length).toEqual(6);
    workers(100).forEach((entry) => {
      expect(layout.domainOf(layout.cellOf(entry) ?? '')).toEqual(entry.domain);
    });
  });

  it('distributes workers about evenly, and identically on every host', () => {
    const [one, other] = [new CellLayout(DOMAINS, 2), new CellLayout(DOMAINS, 2)];
    const sizes = new Map<string, number>();
    workers(82).forEach((entry) => {
      const cell = one.cellOf(entry) ?? '';
      expect(other.cellOf(entry)).toEqual(cell);
      sizes.set(cell, (sizes.get(cell) ?? 0) + 1);
    });
    sizes.forEach((size) => {
      expect(size).toBeGreaterThan(82 / 4);
    });
  });

  it('has no cell for a worker of an unknown failure domain', () => {
    expect(new CellLayout(DOMAINS, 2).cellOf(worker('w', 'elsewhere'))).toEqual(null);
  });
});

describe('the layout selector', () => {
  it('waits for a stable list, so that workers that start late are counted', () => {
    const choice = new LayoutSelector(() => true);
    expect(choice.observe([], 0)).toEqual(null);
    expect(choice.observe(workers(20), 500)).toEqual(null);
    expect(choice.observe(workers(82), 1900)).toEqual(null);
    expect(choice.observe(workers(82), 2100)).toEqual(null);
    expect(choice.observe(workers(82), 3400)).toEqual(2);
  });

  it('chooses one cell per 40 workers of the largest failure domain', () => {
    const cellsFor = (perDomain: number) => {
      const choice = new LayoutSelector(() => true);
      choice.observe(workers(perDomain), 0);
      return choice.observe(workers(perDomain), 2000);
    };
    expect([1, 11, 59, 61, 117].map(cellsFor)).toEqual([1, 1, 1, 2, 3]);
  });

  // Guards against a first start that never ends while an entry of another writer comes and goes.
  it('does not wait for workers of services that the configuration does not name', () => {
    const choice = new LayoutSelector((service) => service !== 'archive-batch');
    const sound = workers(20);
    const foreign = { ...worker('foreign', 'bole'), service: 'archive-batch' };
    choice.observe(sound, 0);
    expect(choice.observe([foreign, ...sound], 1000)).toEqual(null);
    expect(choice.observe(sound, 1600)).toEqual(1);
  });
});
