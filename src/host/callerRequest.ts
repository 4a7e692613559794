/** Checks the bodies of callers' requests. All faults of a body are reported together. */
import { Err, Ok } from 'ts-results';
import type { Result } from 'ts-results';
import { z } from 'zod';
import type { Resources, TaskSpec } from '../core/job';
import type { RequestFinding } from './callerProblem';
import { KEYS_PER_REQUEST } from './callerSettings';
import type { CallerSettings } from './callerSettings';

/** Longest name of a team, kind or task. */
const NAME_LENGTH = 100;

const name = z.string().min(1).max(NAME_LENGTH);
const amount = z.number().nonnegative();

/** A job as a caller writes it; what it leaves out has defaults. */
export interface JobRequest {
  readonly team: string;
  readonly kind: string;
  /** Null if the kind's own deadline is meant. */
  readonly deadlineMs: number | null;
  readonly resources: Resources;
  readonly tasks: readonly TaskSpec[];
}

const TASK = z.strictObject({
  id: name.optional(),
  payload: z.unknown().refine((value) => value !== undefined, 'expected a JSON value'),
  declaredMs: amount.optional(),
});

const KEYS = z.strictObject({ count: z.int().min(1).max(KEYS_PER_REQUEST) });

function jobSchema(settings: CallerSettings) {
  return z.strictObject({
    team: name,
    kind: name,
    deadlineMs: z.int().min(1).max(settings.maxDeadlineMs).optional(),
    resources: z
      .strictObject({
        cores: amount.optional(),
        memoryMb: amount.optional(),
        accelerators: z.int().nonnegative().optional(),
      })
      .optional(),
    tasks: z.array(TASK).min(1),
  });
}

function pathText(path: readonly PropertyKey[]): string {
  return path.reduce<string>((text, part) => {
    if (typeof part === 'number') return `${text}[${part}]`;
    return text === '' ? String(part) : `${text}.${String(part)}`;
  }, '');
}

function findingsOf(error: z.ZodError): RequestFinding[] {
  return error.issues.map((issue) => ({ path: pathText(issue.path), message: issue.message }));
}

function isDeeperThan(value: unknown, depth: number): boolean {
  if (typeof value !== 'object' || value === null) return false;
  if (depth === 0) return true;
  return Object.values(value).some((member) => isDeeperThan(member, depth - 1));
}

/** The JSON value in `bytes`, or findings if it is not UTF-8, not JSON, or nested too deep. */
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

/** The number of keys asked for. */
export function parseKeysRequest(value: unknown): Result<number, RequestFinding[]> {
  const parsed = KEYS.safeParse(value);
  return parsed.success ? Ok(parsed.data.count) : Err(findingsOf(parsed.error));
}

/** Checks the bodies of job requests against the settings. */
export class JobRequestParser {
  readonly #settings: CallerSettings;

  readonly #schema: ReturnType<typeof jobSchema>;

  constructor(settings: CallerSettings) {
    this.#settings = settings;
    this.#schema = jobSchema(settings);
  }

  /** `bodyBytes` is the size of the body that `value` was read from. */
  parse(value: unknown, bodyBytes: number): Result<JobRequest, RequestFinding[]> {
    const { head, findings } = this.#limitTasks(value);
    const parsed = this.#schema.safeParse(head);
    if (!parsed.success) return Err([...findings, ...findingsOf(parsed.error)]);
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

  /** Tasks beyond the limit are one finding; looking into them could yield millions. */
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
      // A body within the limit of one payload needs no closer look.
      if (bodyBytes > payloadBytes && Buffer.byteLength(JSON.stringify(payload)) > payloadBytes) {
        const message = `expected at most ${payloadBytes} bytes of JSON`;
        findings.push({ path: `tasks[${index}].payload`, message });
      }
      return findings;
    });
  }
}
