/** What the tests of calls between hosts have in common: a submitter `a`, and an owner `b` with its status. */
import type { HostIdentity } from '../../src/dispatcher/cellRecord';
import type { HostStatus, StatusRequest } from '../../src/dispatcher/peerMessages';

/** The submitter. */
export const SUBMITTER: HostIdentity = {
  hostId: 'a',
  incarnation: '1',
  domain: 'bole',
  address: '10.0.0.1:1',
  cores: 1,
};

/** Its question, without what it waits for. */
export const QUESTION: StatusRequest = {
  from: SUBMITTER,
  configurationVersion: 1,
  recordsDigest: '',
  records: [],
  listVersion: 0,
};

/** What the owner answers. */
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
