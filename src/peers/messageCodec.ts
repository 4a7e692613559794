/**
 * Encodes and decodes peer messages, one `Envelope` each. Decoding validates every field and
 * returns null for malformed input.
 */
import { GrantOutcome, type PeerMessage } from '../core/messages';
import { wasabiyoke } from './generated/peers';
import {
  MalformedError,
  integer,
  memberOf,
  memberToWire,
  name,
  present,
  quantity,
  resourcesOf,
  workerOf,
} from './validation';

const { Envelope, GrantOutcome: WireOutcome } = wasabiyoke.peers;
type Wire = wasabiyoke.peers.Envelope;
type Type = PeerMessage['type'];
type MessageOf<T extends Type> = Extract<PeerMessage, { type: T }>;

const OUTCOME_TO_WIRE: Readonly<Record<GrantOutcome, wasabiyoke.peers.GrantOutcome>> = {
  succeeded: WireOutcome.GRANT_OUTCOME_SUCCEEDED,
  failed: WireOutcome.GRANT_OUTCOME_FAILED,
  stopped: WireOutcome.GRANT_OUTCOME_STOPPED,
  refused: WireOutcome.GRANT_OUTCOME_REFUSED,
  unreachable: WireOutcome.GRANT_OUTCOME_UNREACHABLE,
  unknown: WireOutcome.GRANT_OUTCOME_UNKNOWN,
  unused: WireOutcome.GRANT_OUTCOME_UNUSED,
};

const OUTCOME_FROM_WIRE = new Map<number, GrantOutcome>(
  Object.values(GrantOutcome).map((outcome) => [OUTCOME_TO_WIRE[outcome], outcome]),
);

/** Wraps a message in an envelope. The envelope has one field per message type, with its name. */
const toWire = (message: PeerMessage): wasabiyoke.peers.Envelope.$Properties => {
  switch (message.type) {
    case 'slotRelease':
      return { slotRelease: { ...message, outcome: OUTCOME_TO_WIRE[message.outcome] } };
    case 'ping':
    case 'ack':
      return { [message.type]: { ...message, updates: message.updates.map(memberToWire) } };
    case 'pingRequest':
      return { pingRequest: { ...message, target: memberToWire(message.target) } };
    default:
      return { [message.type]: message };
  }
};

const DECODERS: { readonly [T in Type]: (wire: NonNullable<Wire[T]>) => MessageOf<T> } = {
  slotRequest: (wire) => ({
    type: 'slotRequest',
    requestId: integer(wire.requestId ?? 0, 'requestId'),
    team: name(wire.team, 'team'),
    kind: name(wire.kind, 'kind'),
    count: integer(wire.count ?? 0, 'count'),
    resources: resourcesOf(wire.resources),
    deadlineMs: quantity(wire.deadlineMs ?? 0, 'deadlineMs'),
    jobTasks: integer(wire.jobTasks ?? 0, 'jobTasks'),
    begun: wire.begun ?? false,
    waitedMs: quantity(wire.waitedMs ?? 0, 'waitedMs'),
  }),
  slotGrant: (wire) => ({
    type: 'slotGrant',
    requestId: integer(wire.requestId ?? 0, 'requestId'),
    grants: (wire.grants ?? []).map((grant) => ({
      grantId: integer(grant.grantId ?? 0, 'grantId'),
      worker: workerOf(grant.worker),
    })),
  }),
  slotRefusal: (wire) => ({
    type: 'slotRefusal',
    requestId: integer(wire.requestId ?? 0, 'requestId'),
    reason: name(wire.reason, 'reason'),
    retryAfterMs: quantity(wire.retryAfterMs ?? 0, 'retryAfterMs'),
  }),
  slotCancel: (wire) => ({
    type: 'slotCancel',
    requestId: integer(wire.requestId ?? 0, 'requestId'),
    count: integer(wire.count ?? 0, 'count'),
  }),
  slotRelease: (wire) => ({
    type: 'slotRelease',
    grantId: integer(wire.grantId ?? 0, 'grantId'),
    outcome: present(OUTCOME_FROM_WIRE.get(wire.outcome ?? 0), 'outcome'),
    runTimeMs: quantity(wire.runTimeMs ?? 0, 'runTimeMs'),
  }),
  slotClaims: (wire) => ({
    type: 'slotClaims',
    claims: (wire.claims ?? []).map((claim) => ({
      grantId: integer(claim.grantId ?? 0, 'grantId'),
      workerId: name(claim.workerId, 'workerId'),
      team: name(claim.team, 'team'),
      kind: name(claim.kind, 'kind'),
      resources: resourcesOf(claim.resources),
    })),
  }),
  loadSummary: (wire) => ({
    type: 'loadSummary',
    domain: name(wire.domain, 'domain'),
    capacitySlots: quantity(wire.capacitySlots ?? 0, 'capacitySlots'),
    freeSlots: quantity(wire.freeSlots ?? 0, 'freeSlots'),
    largest: resourcesOf(wire.largest),
    teams: (wire.teams ?? []).map((load) => ({
      team: name(load.team, 'team'),
      queuedTasks: quantity(load.queuedTasks ?? 0, 'queuedTasks'),
      headroomSlots: quantity(load.headroomSlots ?? 0, 'headroomSlots'),
    })),
  }),
  ping: (wire) => ({
    type: 'ping',
    nonce: integer(wire.nonce ?? 0, 'nonce'),
    updates: (wire.updates ?? []).map(memberOf),
    generation: integer(wire.generation ?? 0, 'generation'),
  }),
  ack: (wire) => ({
    type: 'ack',
    nonce: integer(wire.nonce ?? 0, 'nonce'),
    updates: (wire.updates ?? []).map(memberOf),
    generation: integer(wire.generation ?? 0, 'generation'),
  }),
  pingRequest: (wire) => ({
    type: 'pingRequest',
    nonce: integer(wire.nonce ?? 0, 'nonce'),
    target: memberOf(wire.target),
  }),
  configurationPull: (wire) => ({
    type: 'configurationPull',
    generation: integer(wire.generation ?? 0, 'generation'),
    ...(wire.publicationId ? { publicationId: wire.publicationId } : {}),
  }),
  configurationPush: (wire) => ({
    type: 'configurationPush',
    generation: integer(wire.generation ?? 0, 'generation'),
    publicationId: name(wire.publicationId, 'publicationId'),
    publishedBy: wire.publishedBy ?? '',
    publishedAtMs: quantity(wire.publishedAtMs ?? 0, 'publishedAtMs'),
    text: wire.text ?? '',
    history: [...(wire.history ?? [])],
  }),
};

/** Encodes one message as an `Envelope`. */
export const encodeMessage = (message: PeerMessage): Uint8Array =>
  Envelope.encode(toWire(message)).finish();

const decodeAs = <T extends Type>(type: T, wire: Wire): MessageOf<T> =>
  DECODERS[type](present(wire[type], type) as NonNullable<Wire[T]>);

/** Decodes an `Envelope`; null if it is malformed or its type is unknown to this version. */
export const decodeMessage = (bytes: Uint8Array): PeerMessage | null => {
  try {
    const wire = Envelope.decode(bytes);
    return wire.message === undefined ? null : decodeAs(wire.message, wire);
  } catch (error) {
    // The generated decoder throws RangeError or Error on truncated or invalid input.
    if (error instanceof MalformedError || error instanceof Error) return null;
    throw error;
  }
};
