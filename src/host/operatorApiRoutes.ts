/** Routes of the operator API. Their paths share no prefix with those of the caller API. */
import { z } from 'zod';
import { validateBody } from './operatorApiBody';
import { OperatorProblem, json, problem } from './operatorApiReply';
import type { Reply } from './operatorApiReply';
import type { OperatorService, PublishOutcome } from './operatorService';

/** Prefix of the paths of all routes. */
export const OPERATOR_PREFIX = '/operator/v1';

/**
 * One method of one path. `body` is the parsed JSON of a POST request and null for a GET request.
 */
export interface Route {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  handle(service: OperatorService, body: unknown): Promise<Reply>;
}

const STORE_RETRY_SECONDS = '1';

const text = z.string();
const checkBody = z.strictObject({ file: z.string().max(1024), text });
const diffBody = z.strictObject({ text });
const publishBody = z.strictObject({
  file: z.string().max(1024),
  text,
  publishedBy: z.string().min(1).max(200),
  expectedGeneration: z.int().min(0).optional(),
});
const emptyBody = z.strictObject({});

function publishReply(result: PublishOutcome): Reply {
  switch (result.outcome) {
    case 'published':
      return json(result);
    case 'rejected':
      return problem(422, OperatorProblem.invalidConfiguration, { findings: result.findings });
    case 'lostRace':
      return problem(409, OperatorProblem.lostRace, { winner: result.winner });
    case 'unavailable':
      return problem(
        503,
        OperatorProblem.storeUnavailable,
        { detail: result.detail },
        { 'Retry-After': STORE_RETRY_SECONDS },
      );
    default:
      return problem(504, OperatorProblem.outcomeUnknown, {
        detail: result.detail,
        publicationId: result.publicationId,
      });
  }
}

function get(path: string, read: (service: OperatorService) => Promise<unknown>): Route {
  return {
    method: 'GET',
    path: `${OPERATOR_PREFIX}${path}`,
    handle: async (service) => json(await read(service)),
  };
}

function post<T>(
  path: string,
  schema: z.ZodType<T>,
  apply: (service: OperatorService, body: T) => Promise<Reply>,
): Route {
  return {
    method: 'POST',
    path: `${OPERATOR_PREFIX}${path}`,
    handle: async (service, value) => {
      const body = validateBody(schema, value);
      return body.ok ? apply(service, body.val) : body.val;
    },
  };
}

/** All routes, at most one for each pair of path and method. */
export const OPERATOR_ROUTES: readonly Route[] = [
  get('/status', (service) => service.status()),
  get('/members', (service) => service.members()),
  get('/workers', (service) => service.workers()),
  get('/queues', (service) => service.queues()),
  get('/configuration', (service) => service.configuration()),
  get('/configuration/in-force', (service) => service.inForce()),
  post('/configuration/check', checkBody, async (service, body) => {
    const findings = await service.checkConfiguration(body.file, body.text);
    return findings.length === 0
      ? json({ findings })
      : problem(422, OperatorProblem.invalidConfiguration, { findings });
  }),
  post('/configuration/diff', diffBody, async (service, body) => {
    const changes = await service.diffConfiguration(body.text);
    return changes.ok
      ? json(changes.val)
      : problem(422, OperatorProblem.invalidConfiguration, { findings: changes.val });
  }),
  post('/configuration', publishBody, async (service, body) =>
    publishReply(await service.publishConfiguration(body)),
  ),
  post('/drain', emptyBody, async (service) => {
    await service.drain();
    return json({ state: 'draining' }, 202);
  }),
];
