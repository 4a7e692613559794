/** Fixtures for tests of the peer interface: a submitter `a`, and the status of an owner `b`. */
import type { HostIdentity } from '../../src/dispatcher/ownership/cellRecord';
import type { HostStatus, StatusRequest } from '../../src/dispatcher/peers/peerMessages';

/** The submitter. */
export const SUBMITTER: HostIdentity = {
  hostId: 'a',
  incarnation: '1',
  domain: 'bole',
  address: '10.0.0.1:1',
  cores: 1,
};

/** A status request of the submitter, without awaited calls. */
export const STATUS_REQUEST: StatusRequest = {
  from: SUBMITTER,
  configurationVersion: 1,
  recordsDigest: '',
  records: [],
  listVersion: 0,
};

/** The status of the owner. */
export const STATUS: HostStatus = {
  hostId: 'b',
  incarnation: '1',
  leaving: false,
  configurationVersion: 1,
  cellsPerDomain: 1,
  cells: [],
  recordsDigest: '',
  records: [],
  workers: null,
};
