/** How owners look from another host. */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { OwnerHealth } from '../../src/dispatcher/claimPolicy';
import type { PeerStatus } from '../../src/dispatcher/peerMessages';
import { PeerMonitor } from '../../src/dispatcher/peerMonitor';

const OWNER = {
  hostId: 'bole-2',
  incarnation: '7',
  domain: 'bole',
  address: '10.0.0.2:7000',
  cores: 1,
};
const SUMMARY = { cell: 'bole', freeCpuMillis: [], capacityCpuMillis: 0, queuedCpuMillisMs: 0 };
const STATUS: PeerStatus = {
  hostId: 'bole-2',
  incarnation: '7',
  leaving: false,
  configurationVersion: 1,
  cellsPerDomain: 1,
  batches: [],
  recordsDigest: '',
  cells: [SUMMARY],
  records: [],
  workers: null,
};

function monitor(status: PeerStatus | null, domain = OWNER.domain): PeerMonitor {
  const result = new PeerMonitor(domain);
  result.setOwners([OWNER], 0);
  if (status) result.answered(OWNER.address, status, 100);
  return result;
}

const ANYWHERE = () => true;
const NOWHERE = () => false;

const TICK_MS = 25;

/** Questions to one owner in a second, over a minute. */
function questionsPerSecond(cells: number, isBusy: () => boolean, domain?: string): number {
  const asked = monitor(null, domain);
  asked.setCellCount(cells);
  let count = 0;
  for (let nowMs = 0; nowMs < 60_000; nowMs += TICK_MS)
    count += asked.takeDue(isBusy, nowMs).length;
  return count / 60;
}

describe('the questions to owners', () => {
  it('keep their pace while something runs there, or there are few cells', () => {
    const paceOf150Ms = Math.ceil(60_000 / 150) / 60;
    expect(questionsPerSecond(3, NOWHERE)).toEqual(paceOf150Ms);
    expect(questionsPerSecond(60, ANYWHERE)).toEqual(paceOf150Ms);
  });

  it('of one host to all idle owners stay at 20 a second, however many cells there are', () => {
    [8, 20, 40, 60].forEach((cells) => {
      expect(questionsPerSecond(cells, NOWHERE) * cells).toBeLessThanOrEqual(20);
    });
  });

  // Guards against questions that cost a large site more than its jobs: hosts times cells.
  it('to idle owners in other domains come at a third of the pace, and at once when they are used', () => {
    [3, 10, 60].forEach((cells) => {
      const near = questionsPerSecond(cells, NOWHERE);
      const far = questionsPerSecond(cells, NOWHERE, 'piassa');
      // The first question of the minute comes at once.
      expect(far).toBeLessThanOrEqual(near / 3 + 1 / 60);
      const busy = questionsPerSecond(cells, ANYWHERE, 'piassa');
      expect(busy).toEqual(Math.ceil(60_000 / 150) / 60);
    });
  });

  it('do not show an idle owner in another domain as gone between two of them', () => {
    const far = monitor(STATUS, 'piassa');
    far.setCellCount(20);
    far.takeDue(NOWHERE, 100);
    expect(far.health(OWNER, 'bole', 3100)).toEqual(OwnerHealth.serving);
    expect(far.health(OWNER, 'bole', 100 + 2.5 * 3000 + 100)).toEqual(OwnerHealth.gone);
    far.takeDue(ANYWHERE, 3100);
    expect(far.health(OWNER, 'bole', 3750)).toEqual(OwnerHealth.gone);
  });

  // Batches whose previous owner is gone wait for the answer, and their runs are stopped after 250 ms.
  it('come at once, and then each 150 ms, until an owner lists a cell that it has got', () => {
    const asked = monitor(STATUS);
    asked.setCellCount(20);
    asked.takeDue(NOWHERE, 1000);
    asked.expectCell(OWNER.address, 'bole-2', 1010);
    const times = [1025, 1050, 1150, 1175, 1325];
    const due = times.filter((nowMs) => asked.takeDue(NOWHERE, nowMs).length > 0);
    expect(due).toEqual([1025, 1175, 1325]);
    asked.answered(OWNER.address, { ...STATUS, cells: [{ ...SUMMARY, cell: 'bole-2' }] }, 1330);
    expect(asked.takeDue(NOWHERE, 2300)).toEqual([]);
    expect(asked.takeDue(NOWHERE, 2325)).toEqual([OWNER.address]);
  });

  // Else the pace of the questions to all owners would rise with each cell that never was listed.
  it('come at the usual pace again when another owner has got the cell', () => {
    const asked = monitor(STATUS);
    asked.setCellCount(20);
    asked.expectCell(OWNER.address, 'bole-2', 1000);
    expect(asked.takeDue(NOWHERE, 1000)).toEqual([OWNER.address]);
    asked.expectCell('10.0.0.3:7000', 'bole-2', 1010);
    expect(asked.takeDue(NOWHERE, 1975)).toEqual([]);
  });

  // Else owners of a domain that is cut off would be asked more often for as long as it lasts.
  it('come at the usual pace again when an owner has not listed a cell for a second', () => {
    const asked = monitor(STATUS);
    asked.setCellCount(20);
    asked.expectCell(OWNER.address, 'bole-2', 1000);
    const due: number[] = [];
    for (let nowMs = 1000; nowMs <= 4000; nowMs += TICK_MS) {
      if (asked.takeDue(NOWHERE, nowMs).length > 0) due.push(nowMs);
    }
    expect(due).toEqual([1000, 1150, 1300, 1450, 1600, 1750, 1900, 2900, 3900]);
  });

  it('do not show an idle owner as gone between two of them', () => {
    const idle = monitor(STATUS);
    idle.setCellCount(20);
    idle.takeDue(NOWHERE, 100);
    expect(idle.health(OWNER, 'bole', 1100)).toEqual(OwnerHealth.serving);
    expect(idle.health(OWNER, 'bole', 2700)).toEqual(OwnerHealth.gone);
  });

  it('show an owner as gone 600 ms after a batch was sent there, if it stays silent', () => {
    const busy = monitor(STATUS);
    busy.setCellCount(20);
    busy.takeDue(ANYWHERE, 1000);
    expect(busy.health(OWNER, 'bole', 1550)).toEqual(OwnerHealth.serving);
    expect(busy.health(OWNER, 'bole', 1650)).toEqual(OwnerHealth.gone);
  });
});

describe('the health of an owner', () => {
  it('is serving while it answers', () => {
    expect(monitor(STATUS).health(OWNER, 'bole', 650)).toEqual(OwnerHealth.serving);
  });

  it('is gone after 600 ms without an answer', () => {
    expect(monitor(STATUS).health(OWNER, 'bole', 701)).toEqual(OwnerHealth.gone);
    expect(monitor(null).health(OWNER, 'bole', 500)).toEqual(OwnerHealth.unknown);
    expect(monitor(null).health(OWNER, 'bole', 601)).toEqual(OwnerHealth.gone);
  });

  it('is gone at once when nothing listens, or another process answers', () => {
    const refused = monitor(STATUS);
    refused.refused(OWNER.address);
    expect(refused.health(OWNER, 'bole', 110)).toEqual(OwnerHealth.gone);
    const restarted = monitor({ ...STATUS, incarnation: '8' });
    expect(restarted.health(OWNER, 'bole', 110)).toEqual(OwnerHealth.gone);
  });

  it('is leaving when it says so, and unknown while it lacks the cell', () => {
    const leaving = monitor({ ...STATUS, leaving: true });
    expect(leaving.health(OWNER, 'bole', 110)).toEqual(OwnerHealth.leaving);
    const without = monitor({ ...STATUS, cells: [] });
    expect(without.health(OWNER, 'bole', 110)).toEqual(OwnerHealth.unknown);
  });

  it('does not blame an owner for a pause of this process', () => {
    const paused = monitor(STATUS);
    paused.resume(5000);
    expect(paused.health(OWNER, 'bole', 5100)).toEqual(OwnerHealth.serving);
  });
});
