/** Validates the bodies of callers' requests. All errors in a body are reported together. */
import { Err, Ok } from 'ts-results';
import type { Result } from 'ts-results';
import { z } from 'zod';
import type { Resources, TaskSpec } from '../core/job';
import type { RequestFinding } from './callerProblem';
import { KEYS_PER_REQUEST } from './callerSettings';
import type { CallerSettings } from './callerSettings';

/** Maximum length of the name of a team or kind and of the id of a task. */
const NAME_LENGTH = 100;

const nameSchema = z.string().min(1).max(NAME_LENGTH);
const amountSchema = z.number().nonnegative();

/** A validated job request, with defaults in place of omitted fields. */
export interface JobRequest {
  readonly team: string;
  readonly kind: string;
  /** Null if the caller gave none; the deadline of the kind then applies. */
  readonly deadlineMs: number | null;
  readonly resources: Resources;
  readonly tasks: readonly TaskSpec[];
}

const TASK_SCHEMA = z.strictObject({
  id: nameSchema.optional(),
  payload: z.unknown().refine((value) => value !== undefined, 'expected a JSON value'),
  declaredMs: amountSchema.optional(),
});

const KEYS_REQUEST_SCHEMA = z.strictObject({ count: z.int().min(1).max(KEYS_PER_REQUEST) });

function jobSchema(settings: CallerSettings) {
  return z.strictObject({
    team: nameSchema,
    kind: nameSchema,
    deadlineMs: z.int().min(1).max(settings.maxDeadlineMs).optional(),
    resources: z
      .strictObject({
        cores: amountSchema.optional(),
        memoryMb: amountSchema.optional(),
        accelerators: z.int().nonnegative().optional(),
      })
      .optional(),
    tasks: z.array(TASK_SCHEMA).min(1),
  });
}

function formatPath(path: readonly PropertyKey[]): string {
  return path.reduce<string>((text, part) => {
    if (typeof part === 'number') return `${text}[${part}]`;
    return text === '' ? String(part) : `${text}.${String(part)}`;
  }, '');
}

function toFindings(error: z.ZodError): RequestFinding[] {
  return error.issues.map((issue) => ({ path: formatPath(issue.path), message: issue.message }));
}

function isDeeperThan(value: unknown, depth: number): boolean {
  if (typeof value !== 'object' || value === null) return false;
  if (depth === 0) return true;
  return Object.values(value).some((member) => isDeeperThan(member, depth - 1));
}

/** Parses JSON. Fails with findings if `bytes` is not UTF-8, not JSON, or nested too deeply. */
export function parseJson(bytes: Buffer, maxDepth: number): Result<unknown, RequestFinding[]> {
  try {
    const value: unknown = JSON.parse(new TextDecoder('utf-8', { fatal: true }).decode(bytes));
    return isDeeperThan(value, maxDepth)
      ? Err([{ path: '', message: `expected at most ${maxDepth} levels of nesting` }])
      : Ok(value);
  } catch (error) {
    return Err([{ path: '', message: `expected JSON in UTF-8: ${(error as Error).message}` }]);
  }
}

/** Returns the number of keys that a request asks for. */
export function parseKeysRequest(value: unknown): Result<number, RequestFinding[]> {
  const parsed = KEYS_REQUEST_SCHEMA.safeParse(value);
  return parsed.success ? Ok(parsed.data.count) : Err(toFindings(parsed.error));
}

/** Validates the bodies of job requests against the limits in the settings. */
export class JobRequestParser {
  readonly #settings: CallerSettings;

  readonly #schema: ReturnType<typeof jobSchema>;

  constructor(settings: CallerSettings) {
    this.#settings = settings;
    this.#schema = jobSchema(settings);
  }

  /** `bodyBytes` is the size of the body that `value` was parsed from. */
  parse(value: unknown, bodyBytes: number): Result<JobRequest, RequestFinding[]> {
    const { head, findings } = this.#limitTasks(value);
    const parsed = this.#schema.safeParse(head);
    if (!parsed.success) return Err([...findings, ...toFindings(parsed.error)]);
    const { data } = parsed;
    const tasks = data.tasks.map((task, index) => ({ ...task, id: task.id ?? String(index) }));
    findings.push(...this.#taskFindings(tasks, bodyBytes));
    if (findings.length > 0) return Err(findings);
    return Ok({
      team: data.team,
      kind: data.kind,
      deadlineMs: data.deadlineMs ?? null,
      resources: { ...this.#settings.defaultResources, ...data.resources },
      tasks,
    });
  }

  /** Reports all tasks beyond the limit as one finding; validating them could yield millions. */
  #limitTasks(value: unknown): { readonly head: unknown; readonly findings: RequestFinding[] } {
    const { tasks: limit } = this.#settings;
    const tasks: unknown = (value as { readonly tasks?: unknown } | null)?.tasks;
    if (!Array.isArray(tasks) || tasks.length <= limit) return { head: value, findings: [] };
    const message = `expected at most ${limit} tasks, found ${tasks.length}`;
    return {
      head: { ...(value as object), tasks: tasks.slice(0, limit) },
      findings: [{ path: 'tasks', message }],
    };
  }

  #taskFindings(tasks: readonly TaskSpec[], bodyBytes: number): RequestFinding[] {
    const { payloadBytes } = this.#settings;
    const firstIndex = new Map<string, number>();
    return tasks.flatMap(({ id, payload }, index) => {
      const findings: RequestFinding[] = [];
      const first = firstIndex.get(id);
      if (first === undefined) firstIndex.set(id, index);
      else {
        const message = `expected an id used once, found that of tasks[${first}]`;
        findings.push({ path: `tasks[${index}].id`, message });
      }
      // If the whole body is within the payload limit, so is each payload: skip serializing it.
      if (bodyBytes > payloadBytes && Buffer.byteLength(JSON.stringify(payload)) > payloadBytes) {
        const message = `expected at most ${payloadBytes} bytes of JSON`;
        findings.push({ path: `tasks[${index}].payload`, message });
      }
      return findings;
    });
  }
}
