/** The operations of the dispatcher that the callers' HTTP interface uses. */
import type { KindPolicy } from '../configuration/policy';
import type { JobAnswer, JobSpec } from '../core/job';

/**
 * Operations on submissions, identified by key. Each promise resolves to the single answer of the
 * submission and never rejects.
 */
export interface SubmissionService {
  /** `key` is null if a job of an idempotent kind is submitted without one. */
  submit(key: string | null, job: JobSpec, signal?: AbortSignal): Promise<JobAnswer>;
  cancel(key: string): Promise<JobAnswer>;
  /** Waits for the answer of an earlier submission. */
  awaitAnswer(key: string): Promise<JobAnswer>;
  issueKeys(count: number): readonly string[];
  /** Returns null if the configuration in force does not define the kind for the team. */
  kindPolicy(team: string, kind: string): KindPolicy | null;
  /** Returns false until a configuration is in force and while the host is draining. */
  ready(): boolean;
}
