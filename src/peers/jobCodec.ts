/**
 * Forwarded submissions and answers on the wire. Payloads and results travel as JSON text; an absent
 * one stays absent. Decoders yield null for anything malformed.
 */
import {
  Outcome,
  Reason,
  TaskState,
  type JobAnswer,
  type JobSpec,
  type TaskReport,
  type TaskSpec,
} from '../core/job';
import { wasabiyoke } from './generated/peers';
import { name, oneOf, present, quantity, resourcesOf } from './validation';

const { AnswerReply, ForwardKeyRequest, ForwardRequest, StatusReply } = wasabiyoke.peers;

/** A call about a submission that the incarnation issued. */
export interface ForwardedCall {
  readonly incarnation: string;
  readonly key: string;
}

/** A forwarded submission. */
export interface ForwardedJob extends ForwardedCall {
  readonly job: JobSpec;
}

const attempt = <T>(decode: () => T): T | null => {
  try {
    return decode();
  } catch {
    return null;
  }
};

const toJson = (value: unknown): string | undefined =>
  value === undefined ? undefined : JSON.stringify(value);

const fromJson = (text: string): unknown => JSON.parse(text) as unknown;

const taskOf = (wire: wasabiyoke.peers.Task.$Properties): TaskSpec => ({
  id: name(wire.id, 'task.id'),
  payload: typeof wire.payloadJson === 'string' ? fromJson(wire.payloadJson) : undefined,
  ...(typeof wire.declaredMs === 'number'
    ? { declaredMs: quantity(wire.declaredMs, 'declaredMs') }
    : {}),
});

const reportOf = (wire: wasabiyoke.peers.TaskReport.$Properties): TaskReport => ({
  id: name(wire.id, 'task.id'),
  state: oneOf(TaskState, wire.state, 'task.state'),
  ...(typeof wire.resultJson === 'string' ? { result: fromJson(wire.resultJson) } : {}),
  ...(typeof wire.error === 'string' ? { error: wire.error } : {}),
});

/** Encodes a forwarded submission. */
export const encodeForward = ({ incarnation, key, job }: ForwardedJob): Buffer =>
  Buffer.from(
    ForwardRequest.encode({
      incarnation,
      key,
      job: {
        ...job,
        tasks: job.tasks.map(({ id, payload, declaredMs }) => ({
          id,
          payloadJson: toJson(payload),
          declaredMs,
        })),
      },
    }).finish(),
  );

/** Decodes a forwarded submission. */
export const decodeForward = (bytes: Uint8Array): ForwardedJob | null =>
  attempt(() => {
    const wire = ForwardRequest.decode(bytes);
    const job = present(wire.job, 'job');
    return {
      incarnation: name(wire.incarnation, 'incarnation'),
      key: name(wire.key, 'key'),
      job: {
        team: name(job.team, 'team'),
        kind: name(job.kind, 'kind'),
        deadlineMs: quantity(job.deadlineMs ?? 0, 'deadlineMs'),
        resources: resourcesOf(job.resources),
        tasks: (job.tasks ?? []).map(taskOf),
      },
    };
  });

/** Encodes a forwarded cancellation or inquiry. */
export const encodeForwardKey = (call: ForwardedCall): Buffer =>
  Buffer.from(ForwardKeyRequest.encode({ ...call }).finish());

/** Decodes a forwarded cancellation or inquiry. */
export const decodeForwardKey = (bytes: Uint8Array): ForwardedCall | null =>
  attempt(() => {
    const wire = ForwardKeyRequest.decode(bytes);
    return {
      incarnation: name(wire.incarnation, 'incarnation'),
      key: name(wire.key, 'key'),
    };
  });

/** Encodes an answer. */
export const encodeAnswer = (answer: JobAnswer): Buffer =>
  Buffer.from(
    AnswerReply.encode({
      ...answer,
      tasks: answer.tasks.map(({ id, state, result, error }) => ({
        id,
        state,
        resultJson: toJson(result),
        error,
      })),
    }).finish(),
  );

/** Decodes an answer. */
export const decodeAnswer = (bytes: Uint8Array): JobAnswer | null =>
  attempt(() => {
    const wire = AnswerReply.decode(bytes);
    return {
      outcome: oneOf(Outcome, wire.outcome, 'outcome'),
      key: wire.key ?? '',
      notRun: wire.notRun ?? false,
      ...(typeof wire.reason === 'string' ? { reason: oneOf(Reason, wire.reason, 'reason') } : {}),
      ...(typeof wire.retryAfterMs === 'number'
        ? { retryAfterMs: quantity(wire.retryAfterMs, 'retryAfterMs') }
        : {}),
      tasks: (wire.tasks ?? []).map(reportOf),
    };
  });

/** Encodes a status. */
export const encodeStatus = (status: unknown): Buffer =>
  Buffer.from(StatusReply.encode({ json: JSON.stringify(status ?? null) }).finish());

/** Decodes a status; null if it is malformed. */
export const decodeStatus = (bytes: Uint8Array): unknown =>
  attempt(() => fromJson(StatusReply.decode(bytes).json));
