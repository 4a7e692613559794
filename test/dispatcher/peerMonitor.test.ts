/** How owners look from another host. */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { OwnerHealth } from '../../src/dispatcher/ownership';
import type { PeerStatus } from '../../src/dispatcher/peerMessages';
import { PeerMonitor } from '../../src/dispatcher/peerMonitor';

const OWNER = { hostId: 'bole-2', incarnation: '7', domain: 'bole', address: '10.0.0.2:7000' };
const SUMMARY = { cell: 'bole', freeCpuMillis: [], capacityCpuMillis: 0, queuedCpuMillisMs: 0 };
const STATUS: PeerStatus = {
  hostId: 'bole-2',
  incarnation: '7',
  leaving: false,
  configurationVersion: 1,
  cells: [SUMMARY],
  records: [],
  workers: null,
};

function monitor(status: PeerStatus | null): PeerMonitor {
  const result = new PeerMonitor();
  result.setOwners([OWNER], 0);
  if (status) result.answered(OWNER.address, status, 100);
  return result;
}

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
