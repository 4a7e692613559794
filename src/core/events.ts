/**
 * Interface of the decision code, which takes events and returns actions, and does no I/O. The
 * services of a host, the benchmark and the fuzz tests all use it through `Core`.
 */
import type { Configuration } from '../configuration/policy';
import type { Decision } from '../observe/observer';
import type { PeerOrigin } from '../peers/transport';
import type { HostListEntry } from '../workers/hostList';
import type { AttemptResult, TaskStart, WorkerStatus } from '../workers/workers';
import type { JobAnswer, JobSpec } from './job';
import type { Member, SlotMessage, WorkerRef } from './messages';

/** Period of `tick` events. */
export const TICK_MS = 10;

/** Input of the core. Each `callId` gets exactly one `answer` action. */
export type CoreEvent =
  /** `key` is null for a job of an idempotent kind that was submitted without one. */
  | {
      readonly type: 'submit';
      readonly callId: number;
      readonly key: string | null;
      readonly job: JobSpec;
    }
  | { readonly type: 'cancel'; readonly callId: number; readonly key: string }
  /** Waits for the answer of an earlier submission. */
  | { readonly type: 'await'; readonly callId: number; readonly key: string }
  /** Result of a `startTask`, `revokeTask` or `inquireTask` action. */
  | {
      readonly type: 'attemptResult';
      readonly attemptId: string;
      readonly source: 'start' | 'revoke' | 'inquire';
      readonly result: AttemptResult;
    }
  | {
      readonly type: 'peerMessages';
      readonly from: PeerOrigin;
      readonly messages: readonly SlotMessage[];
    }
  /** All known members, including this host. */
  | { readonly type: 'members'; readonly members: readonly Member[] }
  | { readonly type: 'configuration'; readonly configuration: Configuration }
  /** The host list of the host's own domain. */
  | { readonly type: 'workerList'; readonly entries: readonly HostListEntry[] }
  | {
      readonly type: 'workerStatus';
      readonly workerId: string;
      readonly status: WorkerStatus | null;
    }
  /** A membership round trip that began after the last gap between ticks has succeeded. */
  | { readonly type: 'confirmed' }
  | { readonly type: 'tick' }
  /** Refuse new jobs from now on; jobs in progress are finished. */
  | { readonly type: 'drain' };

/** Output of the core: what its caller is to do. */
export type CoreAction =
  | { readonly type: 'startTask'; readonly worker: WorkerRef; readonly start: TaskStart }
  | { readonly type: 'revokeTask'; readonly worker: WorkerRef; readonly attemptId: string }
  | {
      readonly type: 'inquireTask';
      readonly worker: WorkerRef;
      readonly attemptId: string;
      readonly waitMs: number;
    }
  | { readonly type: 'stopTask'; readonly worker: WorkerRef; readonly attemptId: string }
  | {
      readonly type: 'renewLeases';
      readonly worker: WorkerRef;
      readonly attemptIds: readonly string[];
      readonly leaseMs: number;
    }
  | { readonly type: 'pollStatus'; readonly workerId: string; readonly address: string }
  | { readonly type: 'send'; readonly to: string; readonly messages: readonly SlotMessage[] }
  | { readonly type: 'answer'; readonly callId: number; readonly answer: JobAnswer }
  | { readonly type: 'decision'; readonly decision: Decision }
  | {
      readonly type: 'count';
      readonly name: string;
      readonly value: number;
      readonly tags?: Readonly<Record<string, string>>;
    };

/** Decision code of one host. */
export interface Core {
  handle(event: CoreEvent, nowMs: number): readonly CoreAction[];
  /** Issues submission keys of this process incarnation. */
  issueKeys(count: number, nowMs: number): readonly string[];
  /** Number of submissions without an answer. A draining host may exit when it is 0. */
  pending(): number;
  /** State shown to operators: workers, queues by team, submissions, health. JSON values only. */
  inspect(nowMs: number): unknown;
}
