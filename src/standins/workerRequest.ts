/** Reads request bodies of the stand-in worker. Fields that are missing or malformed count as 0. */
import type { WorkerStart } from './workerTypes';

type Fields = Readonly<Record<string, unknown>>;

function fieldsOf(value: unknown): Fields {
  return typeof value === 'object' && value !== null ? (value as Fields) : {};
}

function numberOf(value: unknown): number {
  return typeof value === 'number' ? value : 0;
}

/** The members of the JSON object in `text`; none if it is not one. */
export function parseBody(text: string): Fields {
  try {
    return fieldsOf(JSON.parse(text));
  } catch {
    return {};
  }
}

/** The start in the body of a `PUT`. */
export function parseStart(attemptId: string, body: Fields): WorkerStart {
  const resources = fieldsOf(body.resources);
  return {
    attemptId,
    submission: String(body.submission),
    task: String(body.task),
    kind: String(body.kind),
    payload: body.payload,
    leaseMs: numberOf(body.leaseMs),
    incarnation: String(body.incarnation),
    resources: {
      cores: numberOf(resources.cores),
      memoryMb: numberOf(resources.memoryMb),
      accelerators: numberOf(resources.accelerators),
    },
  };
}
