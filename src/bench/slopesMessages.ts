/** Peer messages at the design size: their encoded bytes, and CPU to encode and decode each. */
import { toPush, type ConfigurationRecord } from '../configuration/record';
import { GrantOutcome, type Member, type PeerMessage } from '../core/messages';
import { decodeMessage, encodeMessage } from '../peers';
import {
  configurationText,
  fleetMembers,
  INCARNATION,
  KIND,
  OWN_DOMAIN,
  TEAMS,
  teamName,
} from './slopesFleet';
import { cpuPerOperation } from './slopesMeter';
import { rowOf, type SlopeRow } from './slopesRow';
import { SUMMARIES } from './slopesSummary';

const GROUP = 'peer messages';
const REPEATS = 20_000;
const RESOURCES = { cores: 1, memoryMb: 1024, accelerators: 0 };
const HISTORY = 64;
const GRANT_ID = 2 ** 51 + 12345;

function grantOf(tasks: number): PeerMessage {
  const worker = {
    id: `${OWN_DOMAIN}-w101`,
    address: '10.40.0.101:8080',
    incarnation: INCARNATION,
  };
  const grants = Array.from({ length: tasks }, (_, index) => ({
    grantId: GRANT_ID + index,
    worker,
  }));
  return { type: 'slotGrant', requestId: 123_456, grants };
}

function claimsOf(count: number): PeerMessage {
  const claims = Array.from({ length: count }, (_, index) => ({
    grantId: GRANT_ID + index,
    workerId: `${OWN_DOMAIN}-w101`,
    team: teamName(index),
    kind: KIND,
    resources: RESOURCES,
  }));
  return { type: 'slotClaims', claims };
}

function pingOf(updates: readonly Member[]): PeerMessage {
  return { type: 'ping', nonce: 1_234_567, updates, generation: 3500 };
}

/** The record of a configuration of all teams, with a full history. */
export function fleetRecord(): ConfigurationRecord {
  const history = Array.from(
    { length: HISTORY },
    (_, index) => `0b8e6d5c-1f2a-4c3b-9d8e-7f6a5b4c${String(3436 + index)}`,
  );
  return {
    generation: 3500,
    publicationId: history.at(-1) ?? '',
    publishedBy: 'operator@franchise.example',
    publishedAtMs: 1_764_800_000_000,
    text: configurationText(),
    history,
  };
}

/** Messages by the name in the table. */
export const SAMPLE_MESSAGES: Readonly<Record<string, PeerMessage>> = {
  slotRequest: {
    type: 'slotRequest',
    requestId: 123_456,
    team: teamName(7),
    kind: KIND,
    count: 4,
    resources: RESOURCES,
    deadlineMs: 59_999.5,
    jobTasks: 4,
    begun: false,
    waitedMs: 0.4,
  },
  'slotGrant of 1': grantOf(1),
  'slotGrant of 4': grantOf(4),
  slotRelease: {
    type: 'slotRelease',
    grantId: GRANT_ID,
    outcome: GrantOutcome.succeeded,
    runTimeMs: 96.4,
  },
  slotRefusal: {
    type: 'slotRefusal',
    requestId: 123_456,
    reason: 'overloaded',
    retryAfterMs: 1200,
  },
  slotCancel: { type: 'slotCancel', requestId: 123_456, count: 1 },
  'slotClaims of 0': claimsOf(0),
  'slotClaims of 100': claimsOf(100),
  'loadSummary, idle': SUMMARIES.idle,
  'loadSummary, 70 % load': SUMMARIES.busy,
  'loadSummary, all teams waiting': SUMMARIES.flooded,
  'ping without updates': pingOf([]),
  'ping with 8 updates': pingOf(fleetMembers(8, 6)),
  configurationPull: {
    type: 'configurationPull',
    generation: 3500,
    publicationId: fleetRecord().publicationId,
  },
  [`configurationPush of ${TEAMS} teams`]: toPush(fleetRecord()),
};

/** Encoded bytes of a sample message. */
export function sampleBytes(name: string): number {
  const message = SAMPLE_MESSAGES[name];
  if (!message) throw new Error(`no sample message ${name}`);
  return encodeMessage(message).length;
}

function times(count: number, run: () => void): void {
  for (let left = count; left > 0; left -= 1) run();
}

function rowsOf(name: string, message: PeerMessage): readonly SlopeRow[] {
  const bytes = encodeMessage(message);
  const repeats = Math.max(100, Math.floor(REPEATS / (1 + bytes.length / 200)));
  const encode = cpuPerOperation(repeats, (count) => times(count, () => encodeMessage(message)));
  const decode = cpuPerOperation(repeats, (count) => times(count, () => decodeMessage(bytes)));
  return [
    rowOf(GROUP, `${name}, size`, 'bytes', [bytes.length]),
    rowOf(GROUP, `${name}, encode`, 'µs', encode),
    rowOf(GROUP, `${name}, decode`, 'µs', decode),
  ];
}

/** All rows of the peer messages. */
export function messageRows(): readonly SlopeRow[] {
  return Object.entries(SAMPLE_MESSAGES).flatMap(([name, message]) => rowsOf(name, message));
}
