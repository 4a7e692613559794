/**
 * Encodes and decodes forwarded submissions and answers. Payloads and results are sent as JSON
 * text; absent ones stay absent. Decoders return null for malformed input.
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

/** A call about a submission whose key the given incarnation issued. */
export interface ForwardedCall {
  readonly incarnation: string;
  readonly key: string;
}

/** A forwarded submission. */
export interface ForwardedJob extends ForwardedCall {
  readonly job: JobSpec;
}

const nullIfMalformed = <T>(decode: () => T): T | null => {
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

export const decodeForward = (bytes: Uint8Array): ForwardedJob | null =>
  nullIfMalformed(() => {
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
  nullIfMalformed(() => {
    const wire = ForwardKeyRequest.decode(bytes);
    return {
      incarnation: name(wire.incarnation, 'incarnation'),
      key: name(wire.key, 'key'),
    };
  });

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

export const decodeAnswer = (bytes: Uint8Array): JobAnswer | null =>
  nullIfMalformed(() => {
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

export const encodeStatus = (status: unknown): Buffer =>
  Buffer.from(StatusReply.encode({ json: JSON.stringify(status ?? null) }).finish());

export const decodeStatus = (bytes: Uint8Array): unknown =>
  nullIfMalformed(() => fromJson(StatusReply.decode(bytes).json));
