/** What the callers' interface does for each kind of request, apart from the transport. */
import type { JobSpec } from '../core/job';
import { answerOf } from './callerAnswer';
import { invalidRequest, json, problem, ProblemType } from './callerProblem';
import type { HttpAnswer, RequestFinding } from './callerProblem';
import { JobRequestParser, parseJson, parseKeysRequest } from './callerRequest';
import type { JobRequest } from './callerRequest';
import type { CallerSettings } from './callerSettings';
import type { SubmissionService } from './submissionService';

/** Printable ASCII without a comma: a comma means that the header was sent twice. */
const KEY_FORM = /^[!-+\--~]{1,256}$/;
/** For a kind that the configuration does not have; the dispatcher refuses such a job. */
const UNKNOWN_KIND_DEADLINE_MS = 1000;
const RETRY_KEYS_MS = 1000;

const INVALID_KEY = problem(ProblemType.invalidKey, 400, {
  detail: 'expected one key of at most 256 printable ASCII characters',
});

function keyOf(text: string): string | null {
  try {
    const key = decodeURIComponent(text);
    return KEY_FORM.test(key) ? key : null;
  } catch {
    return null;
  }
}

/** Answers requests whose bodies have been received. */
export class CallerRoutes {
  readonly #service: SubmissionService;

  readonly #settings: CallerSettings;

  readonly #parser: JobRequestParser;

  constructor(service: SubmissionService, settings: CallerSettings) {
    this.#service = service;
    this.#settings = settings;
    this.#parser = new JobRequestParser(settings);
  }

  async issueKeys(bytes: Buffer): Promise<HttpAnswer> {
    const count = parseJson(bytes, this.#settings.bodyDepth).andThen(parseKeysRequest);
    if (!count.ok) return invalidRequest(400, count.val);
    if (!this.#service.ready()) {
      // Keys of a host that is about to leave could not be resubmitted elsewhere.
      return problem(ProblemType.draining, 503, { notRun: true, retryAfterMs: RETRY_KEYS_MS });
    }
    const keys = this.#service.issueKeys(count.val);
    return json(200, { keys, expiresInMs: this.#settings.keyLifetimeMs });
  }

  async submit(header: string | string[] | undefined, bytes: Buffer): Promise<HttpAnswer> {
    if (header !== undefined && !KEY_FORM.test(String(header))) return INVALID_KEY;
    const value = parseJson(bytes, this.#settings.bodyDepth);
    if (!value.ok) return invalidRequest(400, value.val);
    const parsed = this.#parser.parse(value.val, bytes.length);
    if (!parsed.ok) {
      return invalidRequest(400, [...parsed.val, ...this.#kindFindings(value.val)]);
    }
    const key = header === undefined ? null : String(header);
    return answerOf(await this.#service.submit(key, this.#jobOf(parsed.val)));
  }

  async cancel(text: string): Promise<HttpAnswer> {
    const key = keyOf(text);
    return key === null ? INVALID_KEY : answerOf(await this.#service.cancel(key));
  }

  /** Without `waitMs` it waits for the answer; with it, no longer than that. */
  async awaitAnswer(text: string, waitMs: string | null): Promise<HttpAnswer> {
    const key = keyOf(text);
    if (key === null) return INVALID_KEY;
    const answer = this.#service.awaitAnswer(key).then(answerOf);
    if (waitMs === null) return answer;
    if (!/^\d{1,6}$/.test(waitMs)) {
      return invalidRequest(400, [{ path: 'waitMs', message: 'expected 0 to 999999' }]);
    }
    let timer: NodeJS.Timeout | undefined;
    const pending = new Promise<HttpAnswer>((resolve) => {
      const tell = (): void => resolve(json(202, { outcome: 'pending', key }));
      timer = setTimeout(tell, Number(waitMs));
    });
    try {
      return await Promise.race([answer, pending]);
    } finally {
      clearTimeout(timer);
    }
  }

  #jobOf(request: JobRequest): JobSpec {
    const { team, kind } = request;
    const deadlineMs =
      request.deadlineMs ??
      this.#service.kindPolicy(team, kind)?.deadlineMs ??
      UNKNOWN_KIND_DEADLINE_MS;
    return { ...request, deadlineMs };
  }

  /** Reports an unknown team or kind together with the other faults of a body. */
  #kindFindings(value: unknown): readonly RequestFinding[] {
    const { team, kind } = (value ?? {}) as { readonly team?: unknown; readonly kind?: unknown };
    if (typeof team !== 'string' || typeof kind !== 'string' || !this.#service.ready()) return [];
    return this.#service.kindPolicy(team, kind) === null
      ? [{ path: 'kind', message: 'expected a team and kind of the configuration' }]
      : [];
  }
}
