/** What the callers' HTTP interface asks of the dispatcher. */
import type { KindPolicy } from '../configuration/policy';
import type { JobAnswer, JobSpec } from '../core/job';

/** Submissions by key. Each promise yields the one answer of a submission; none rejects. */
export interface SubmissionService {
  /** `key` is null for a job of an idempotent kind that was submitted without one. */
  submit(key: string | null, job: JobSpec, signal?: AbortSignal): Promise<JobAnswer>;
  cancel(key: string): Promise<JobAnswer>;
  /** Waits for the answer of a submission that was made before. */
  awaitAnswer(key: string): Promise<JobAnswer>;
  issueKeys(count: number): readonly string[];
  /** Null if the configuration in force does not have the kind. */
  kindPolicy(team: string, kind: string): KindPolicy | null;
  /** False while no configuration is in force and when the host is draining. */
  ready(): boolean;
}
