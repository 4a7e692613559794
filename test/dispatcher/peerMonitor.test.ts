/** Poll rates and the health of owners as observed by another host. */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { OwnerHealth } from '../../src/dispatcher/ownership/claimPolicy';
import type { PeerStatus } from '../../src/dispatcher/peers/peerMessages';
import { PeerMonitor } from '../../src/dispatcher/peers/peerMonitor';

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

function monitorOf(status: PeerStatus | null, domain = OWNER.domain): PeerMonitor {
  const result = new PeerMonitor(domain);
  result.setOwners([OWNER], 0);
  if (status) result.recordStatus(OWNER.address, status, 100);
  return result;
}

const ANYWHERE = () => true;
const NOWHERE = () => false;

const TICK_MS = 25;

/** Average polls per second of one owner, over a minute. */
function pollsPerSecond(cells: number, isBusy: () => boolean, domain?: string): number {
  const monitor = monitorOf(null, domain);
  monitor.setCellCount(cells);
  let count = 0;
  for (let nowMs = 0; nowMs < 60_000; nowMs += TICK_MS)
    count += monitor.takeDue(isBusy, nowMs).length;
  return count / 60;
}

describe('the polls of owners', () => {
  it('keep the busy rate while batches run there, or if there are few cells', () => {
    const busyRate = Math.ceil(60_000 / 150) / 60;
    expect(pollsPerSecond(3, NOWHERE)).toEqual(busyRate);
    expect(pollsPerSecond(60, ANYWHERE)).toEqual(busyRate);
  });

  it('of all idle owners by one host do not exceed 20 a second for any number of cells', () => {
    [8, 20, 40, 60].forEach((cells) => {
      expect(pollsPerSecond(cells, NOWHERE) * cells).toBeLessThanOrEqual(20);
    });
  });

  // Guards against poll costs that grow with hosts times cells and exceed those of the jobs.
  it('of idle owners in other domains have a third of the rate, and the busy rate when in use', () => {
    [3, 10, 60].forEach((cells) => {
      const ownDomain = pollsPerSecond(cells, NOWHERE);
      const otherDomain = pollsPerSecond(cells, NOWHERE, 'piassa');
      // The first poll of the minute is immediate.
      expect(otherDomain).toBeLessThanOrEqual(ownDomain / 3 + 1 / 60);
      const busy = pollsPerSecond(cells, ANYWHERE, 'piassa');
      expect(busy).toEqual(Math.ceil(60_000 / 150) / 60);
    });
  });

  it('do not report an idle owner in another domain as gone between two polls', () => {
    const otherDomain = monitorOf(STATUS, 'piassa');
    otherDomain.setCellCount(20);
    otherDomain.takeDue(NOWHERE, 100);
    expect(otherDomain.health(OWNER, 'bole', 3100)).toEqual(OwnerHealth.serving);
    expect(otherDomain.health(OWNER, 'bole', 100 + 2.5 * 3000 + 100)).toEqual(OwnerHealth.gone);
    otherDomain.takeDue(ANYWHERE, 3100);
    expect(otherDomain.health(OWNER, 'bole', 3750)).toEqual(OwnerHealth.gone);
  });

  // Batches of the previous owner wait for the response, and their runs are stopped after 250 ms.
  it('are immediate, then every 150 ms, until an owner lists a cell that it has acquired', () => {
    const monitor = monitorOf(STATUS);
    monitor.setCellCount(20);
    monitor.takeDue(NOWHERE, 1000);
    monitor.expectCell(OWNER.address, 'bole-2', 1010);
    const times = [1025, 1050, 1150, 1175, 1325];
    const due = times.filter((nowMs) => monitor.takeDue(NOWHERE, nowMs).length > 0);
    expect(due).toEqual([1025, 1175, 1325]);
    monitor.recordStatus(
      OWNER.address,
      { ...STATUS, cells: [{ ...SUMMARY, cell: 'bole-2', capacityCpuMillis: 1000 }] },
      1330,
    );
    expect(monitor.takeDue(NOWHERE, 2300)).toEqual([]);
    expect(monitor.takeDue(NOWHERE, 2325)).toEqual([OWNER.address]);
  });

  // Guards against a cell that others take for empty until their next idle poll, because their first
  // one came before its new owner had reached the workers.
  it('go on every 50 ms while an owner has reached none of the workers of its new cell', () => {
    const monitor = monitorOf(STATUS, 'piassa');
    monitor.setCellCount(20);
    monitor.expectCell(OWNER.address, 'bole-2', 1000);
    monitor.takeDue(NOWHERE, 1000);
    const listed = { ...SUMMARY, cell: 'bole-2' };
    monitor.recordStatus(OWNER.address, { ...STATUS, cells: [listed] }, 1005);
    expect(monitor.takeDue(NOWHERE, 1025)).toEqual([]);
    expect(monitor.takeDue(NOWHERE, 1050)).toEqual([OWNER.address]);
    const reached = { ...listed, capacityCpuMillis: 1000 };
    monitor.recordStatus(OWNER.address, { ...STATUS, cells: [reached] }, 1055);
    expect(monitor.takeDue(NOWHERE, 1500)).toEqual([]);
  });

  // Guards against a poll rate that rises with each cell that is never listed.
  it('return to the usual rate when another owner has acquired the cell', () => {
    const monitor = monitorOf(STATUS);
    monitor.setCellCount(20);
    monitor.expectCell(OWNER.address, 'bole-2', 1000);
    expect(monitor.takeDue(NOWHERE, 1000)).toEqual([OWNER.address]);
    monitor.expectCell('10.0.0.3:7000', 'bole-2', 1010);
    expect(monitor.takeDue(NOWHERE, 1975)).toEqual([]);
  });

  // Guards against a high poll rate for as long as a domain is cut off.
  it('return to the usual rate when an owner has not listed a cell for a second', () => {
    const monitor = monitorOf(STATUS);
    monitor.setCellCount(20);
    monitor.expectCell(OWNER.address, 'bole-2', 1000);
    const due: number[] = [];
    for (let nowMs = 1000; nowMs <= 4000; nowMs += TICK_MS) {
      if (monitor.takeDue(NOWHERE, nowMs).length > 0) due.push(nowMs);
    }
    expect(due).toEqual([1000, 1150, 1300, 1450, 1600, 1750, 1900, 2900, 3900]);
  });

  it('do not report an idle owner as gone between two polls', () => {
    const idle = monitorOf(STATUS);
    idle.setCellCount(20);
    idle.takeDue(NOWHERE, 100);
    expect(idle.health(OWNER, 'bole', 1100)).toEqual(OwnerHealth.serving);
    expect(idle.health(OWNER, 'bole', 2700)).toEqual(OwnerHealth.gone);
  });

  it('report an owner as gone 600 ms after a batch was sent there without an answer since', () => {
    const busy = monitorOf(STATUS);
    busy.setCellCount(20);
    busy.takeDue(ANYWHERE, 1000);
    expect(busy.health(OWNER, 'bole', 1550)).toEqual(OwnerHealth.serving);
    expect(busy.health(OWNER, 'bole', 1650)).toEqual(OwnerHealth.gone);
  });
});

describe('the health of an owner', () => {
  it('is serving while it answers', () => {
    expect(monitorOf(STATUS).health(OWNER, 'bole', 650)).toEqual(OwnerHealth.serving);
  });

  it('is gone after 600 ms without an answer', () => {
    expect(monitorOf(STATUS).health(OWNER, 'bole', 701)).toEqual(OwnerHealth.gone);
    expect(monitorOf(null).health(OWNER, 'bole', 500)).toEqual(OwnerHealth.unknown);
    expect(monitorOf(null).health(OWNER, 'bole', 601)).toEqual(OwnerHealth.gone);
  });

  it('is gone at once when the connection is refused, or another process answers', () => {
    const refused = monitorOf(STATUS);
    refused.recordRefusal(OWNER.address);
    expect(refused.health(OWNER, 'bole', 110)).toEqual(OwnerHealth.gone);
    const restarted = monitorOf({ ...STATUS, incarnation: '8' });
    expect(restarted.health(OWNER, 'bole', 110)).toEqual(OwnerHealth.gone);
  });

  it('is leaving when the status says so, and unknown while the cell is not listed', () => {
    const leaving = monitorOf({ ...STATUS, leaving: true });
    expect(leaving.health(OWNER, 'bole', 110)).toEqual(OwnerHealth.leaving);
    const without = monitorOf({ ...STATUS, cells: [] });
    expect(without.health(OWNER, 'bole', 110)).toEqual(OwnerHealth.unknown);
  });

  it('is not affected by a pause of this process', () => {
    const paused = monitorOf(STATUS);
    paused.resume(5000);
    expect(paused.health(OWNER, 'bole', 5100)).toEqual(OwnerHealth.serving);
  });
});
