/** Fake dispatcher for tests of the callers' interface; the test sets its answers. */
import type { KindPolicy } from '../../src/configuration/policy';
import type { JobAnswer, JobSpec } from '../../src/core/job';
import type { SubmissionService } from '../../src/host/submissionService';

const UNLOCK: KindPolicy = { name: 'unlock', urgency: 0, idempotent: true, deadlineMs: 750 };

export const COMPLETE: JobAnswer = {
  outcome: 'complete',
  key: 'k1',
  notRun: false,
  tasks: [{ id: '0', state: 'succeeded', result: { open: true } }],
};

export class FakeSubmissions implements SubmissionService {
  readonly submitted: { readonly key: string | null; readonly job: JobSpec }[] = [];

  readonly cancelled: string[] = [];

  isReady = true;

  /** Provides the answers to all calls; tests may replace it. */
  answer: () => Promise<JobAnswer>;

  /** Number of keys issued. */
  issued = 0;

  readonly policy = UNLOCK;

  #onSubmit: (() => void) | null = null;

  constructor() {
    this.answer = async () => COMPLETE;
  }

  /** Resolves at the next submission. */
  nextSubmission(): Promise<void> {
    return new Promise((resolve) => {
      this.#onSubmit = resolve;
    });
  }

  /** Delays all answers until the returned function is called. */
  hold(): () => void {
    let release: () => void = () => undefined;
    const released = new Promise<void>((resolve) => {
      release = resolve;
    });
    this.answer = async () => {
      await released;
      return COMPLETE;
    };
    return release;
  }

  submit(key: string | null, job: JobSpec): Promise<JobAnswer> {
    this.submitted.push({ key, job });
    this.#onSubmit?.();
    return this.answer();
  }

  cancel(key: string): Promise<JobAnswer> {
    this.cancelled.push(key);
    return this.answer();
  }

  awaitAnswer(): Promise<JobAnswer> {
    return this.answer();
  }

  issueKeys(count: number): readonly string[] {
    this.issued += count;
    return Array.from({ length: count }, (_, index) => `key-${index}`);
  }

  kindPolicy(team: string, kind: string): KindPolicy | null {
    return team === 'kiosk' && kind === this.policy.name ? this.policy : null;
  }

  ready(): boolean {
    return this.isReady;
  }
}
