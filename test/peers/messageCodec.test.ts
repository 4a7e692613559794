/** Guards against fields lost in encoding and against peer input that throws into this host. */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import type { Member, PeerMessage } from '../../src/core/messages';
import { decodeMessage, encodeMessage } from '../../src/peers';
import { wasabiyoke } from '../../src/peers/generated/peers';
import {
  decodeAnswer,
  decodeForward,
  decodeForwardKey,
  decodeStatus,
  encodeAnswer,
  encodeForward,
} from '../../src/peers/jobCodec';
import { answer, job, resources } from './fixtures';

const { Envelope } = wasabiyoke.peers;
const worker = { id: 'w1', address: '127.0.0.1:9', incarnation: 'i1' };
const member: Member = {
  hostId: 'h1',
  incarnation: 'x',
  domain: 'sofia-a',
  peerAddress: '127.0.0.1:8',
  state: 'leaving',
  sequence: 3,
};

const MESSAGES: readonly PeerMessage[] = [
  {
    type: 'slotRequest',
    requestId: 2 ** 53 - 1,
    team: 't',
    kind: 'k',
    count: 710,
    resources,
    deadlineMs: 0.25,
    jobTasks: 710,
    begun: true,
    waitedMs: 12.5,
  },
  { type: 'slotGrant', requestId: 0, grants: [{ grantId: 2 ** 52 + 1, worker }] },
  { type: 'slotRefusal', requestId: 5, reason: 'overloaded', retryAfterMs: 12.5 },
  { type: 'slotCancel', requestId: 5, count: 2 },
  { type: 'slotRelease', grantId: 6, outcome: 'unreachable', runTimeMs: 0 },
  {
    type: 'slotClaims',
    claims: [{ grantId: 6, workerId: 'w1', team: 't', kind: 'k', resources }],
  },
  {
    type: 'loadSummary',
    domain: 'd',
    capacitySlots: 240,
    freeSlots: 0,
    largest: resources,
    teams: [{ team: 'kiosk', queuedTasks: 7, headroomSlots: 3 }],
  },
  { type: 'ping', nonce: 4_000_000_000, updates: [member], generation: 9 },
  { type: 'ack', nonce: 0, updates: [], generation: 0 },
  { type: 'pingRequest', nonce: 7, target: { ...member, state: 'suspect' } },
  { type: 'configurationPull', generation: 3 },
  {
    type: 'configurationPush',
    generation: 4,
    publicationId: 'p',
    publishedBy: '',
    publishedAtMs: 1_796_000_000_000,
    text: '[team а]\n',
    history: ['o', 'p'],
  },
];

describe('message codec', () => {
  it('preserves every field of every message type', () => {
    MESSAGES.forEach((message) => {
      expect(decodeMessage(encodeMessage(message))).toEqual(message);
    });
  });

  it('rejects values out of range and missing fields', () => {
    const malformed: wasabiyoke.peers.Envelope.$Properties[] = [
      {},
      { slotCancel: { requestId: NaN, count: 1 } },
      { slotCancel: { requestId: -1, count: 1 } },
      { slotCancel: { requestId: 0.5, count: 1 } },
      { slotRelease: { grantId: 1, outcome: 99 as never } },
      { slotRequest: { requestId: 1, team: 't', kind: 'k', count: 1 } },
      { slotRequest: { requestId: 1, team: '', kind: 'k', count: 1, resources } },
      { slotGrant: { requestId: 1, grants: [{ grantId: 1 }] } },
      { ping: { nonce: 1, updates: [{ hostId: 'h' }] } },
      { pingRequest: { nonce: 1 } },
      { slotRefusal: { requestId: 1, reason: 'x'.repeat(10_000) } },
    ];
    malformed.forEach((wire) => {
      expect(decodeMessage(Envelope.encode(wire).finish())).toEqual(null);
    });
  });

  it('never throws on arbitrary or mutated bytes', () => {
    const mutated = fc
      .tuple(fc.constantFrom(...MESSAGES), fc.nat(), fc.integer({ min: 0, max: 255 }))
      .map(([message, at, value]) => {
        const bytes = Buffer.from(encodeMessage(message));
        bytes[at % bytes.length] = value;
        return new Uint8Array(bytes);
      });
    fc.assert(
      fc.property(fc.oneof(fc.uint8Array({ maxLength: 200 }), mutated), (bytes) => {
        decodeMessage(bytes);
        decodeForward(bytes);
        decodeForwardKey(bytes);
        decodeAnswer(bytes);
        decodeStatus(bytes);
      }),
      { seed: 20261204, numRuns: 3000 },
    );
  });
});

describe('job codec', () => {
  it('preserves jobs and answers, including absent payloads and results', () => {
    const forwarded = { incarnation: 'i', key: 'k', job };
    expect(decodeForward(encodeForward(forwarded))).toEqual(forwarded);
    expect(decodeAnswer(encodeAnswer(answer))).toEqual(answer);
  });

  it('rejects an answer with an unknown outcome, reason or task state, or a negative delay', () => {
    const decodeChanged = (change: object): unknown =>
      decodeAnswer(encodeAnswer({ ...answer, ...change }));
    expect(decodeChanged({ outcome: 'perhaps' })).toEqual(null);
    expect(decodeChanged({ reason: 'because' })).toEqual(null);
    expect(decodeChanged({ tasks: [{ id: 'a', state: 'lost' }] })).toEqual(null);
    expect(decodeChanged({ retryAfterMs: -5 })).toEqual(null);
  });
});
