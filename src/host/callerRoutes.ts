/** Handlers of the requests of the callers' interface, independent of the HTTP server. */
import type { JobSpec } from '../core/job';
import { toHttpAnswer } from './callerAnswer';
import { invalidRequest, json, problem, ProblemType } from './callerProblem';
import type { HttpAnswer, RequestFinding } from './callerProblem';
import { JobRequestParser, parseJson, parseKeysRequest } from './callerRequest';
import type { JobRequest } from './callerRequest';
import type { CallerSettings } from './callerSettings';
import type { SubmissionService } from './submissionService';

/** Printable ASCII without comma: Node joins the values of a header that is sent twice with one. */
const KEY_PATTERN = /^[!-+\--~]{1,256}$/;
/** Placeholder for a kind that is not configured; the dispatcher refuses the job anyway. */
const UNKNOWN_KIND_DEADLINE_MS = 1000;
const KEYS_RETRY_AFTER_MS = 1000;

const INVALID_KEY = problem(ProblemType.invalidKey, 400, {
  detail: 'expected one key of at most 256 printable ASCII characters',
});

function decodeKey(encodedKey: string): string | null {
  try {
    const key = decodeURIComponent(encodedKey);
    return KEY_PATTERN.test(key) ? key : null;
  } catch {
    return null;
  }
}

/** Handles requests whose bodies have been received in full. */
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
      // Other hosts could not serve resubmissions with these keys once this host has left.
      return problem(ProblemType.draining, 503, {
        notRun: true,
        retryAfterMs: KEYS_RETRY_AFTER_MS,
      });
    }
    const keys = this.#service.issueKeys(count.val);
    return json(200, { keys, expiresInMs: this.#settings.keyLifetimeMs });
  }

  async submit(header: string | string[] | undefined, bytes: Buffer): Promise<HttpAnswer> {
    if (header !== undefined && !KEY_PATTERN.test(String(header))) return INVALID_KEY;
    const value = parseJson(bytes, this.#settings.bodyDepth);
    if (!value.ok) return invalidRequest(400, value.val);
    const parsed = this.#parser.parse(value.val, bytes.length);
    if (!parsed.ok) {
      return invalidRequest(400, [...parsed.val, ...this.#kindFindings(value.val)]);
    }
    const key = header === undefined ? null : String(header);
    return toHttpAnswer(await this.#service.submit(key, this.#toJobSpec(parsed.val)));
  }

  async cancel(encodedKey: string): Promise<HttpAnswer> {
    const key = decodeKey(encodedKey);
    return key === null ? INVALID_KEY : toHttpAnswer(await this.#service.cancel(key));
  }

  /** Waits for the answer, for at most `waitMs` if that is given. */
  async awaitAnswer(encodedKey: string, waitMs: string | null): Promise<HttpAnswer> {
    const key = decodeKey(encodedKey);
    if (key === null) return INVALID_KEY;
    const answer = this.#service.awaitAnswer(key).then(toHttpAnswer);
    if (waitMs === null) return answer;
    if (!/^\d{1,6}$/.test(waitMs)) {
      return invalidRequest(400, [{ path: 'waitMs', message: 'expected 0 to 999999' }]);
    }
    let timer: NodeJS.Timeout | undefined;
    const pending = new Promise<HttpAnswer>((resolve) => {
      const resolvePending = (): void => resolve(json(202, { outcome: 'pending', key }));
      timer = setTimeout(resolvePending, Number(waitMs));
    });
    try {
      return await Promise.race([answer, pending]);
    } finally {
      clearTimeout(timer);
    }
  }

  #toJobSpec(request: JobRequest): JobSpec {
    const { team, kind } = request;
    const deadlineMs =
      request.deadlineMs ??
      this.#service.kindPolicy(team, kind)?.deadlineMs ??
      UNKNOWN_KIND_DEADLINE_MS;
    return { ...request, deadlineMs };
  }

  /** Lets an unknown team or kind be reported together with the other errors of a body. */
  #kindFindings(value: unknown): readonly RequestFinding[] {
    const { team, kind } = (value ?? {}) as { readonly team?: unknown; readonly kind?: unknown };
    if (typeof team !== 'string' || typeof kind !== 'string' || !this.#service.ready()) return [];
    return this.#service.kindPolicy(team, kind) === null
      ? [{ path: 'kind', message: 'expected a team and kind of the configuration' }]
      : [];
  }
}
