/**
 * Tells where this host would send the tasks of a job now, and why, without sending them. The same
 * code decides as for a job that is sent: the router, the division of jobs, and the admission of
 * the cells that are asked.
 */
import { Err, Ok, type Result } from 'ts-results';
import type { QueuePolicy } from '../../cells/job';
import type { CellSummary, TaskBatch } from '../../cells/messages';
import type { Clock, RandomSource } from '../../core/clock';
import type { Cluster } from '../cluster';
import type { DispatchJournal } from '../journal';
import { BatchSender } from './batchSender';
import { JobDivision, type AskedCell } from './jobDivision';
import type { QueueTable } from './queueTable';
import { RunningJob } from './runningJob';
import { spreadTasks, type CellAssignment } from './router';

/** A job of one step that is asked about. Times in milliseconds, CPU in thousandths of a core. */
export interface PreviewRequest {
  readonly queue: string;
  readonly taskCount: number;
  readonly cpuMillis: number;
  readonly memoryMb: number;
  readonly accelerators: number;
  readonly estimateMs: number;
  readonly deadlineInMs: number;
  readonly requiredLabel: string | null;
  readonly preferredRack: string | null;
}

/** Load of a cell as known to this host, and what its owner answered; null without an answer. */
export interface CellPreview {
  readonly cell: string;
  readonly isOwnDomain: boolean;
  readonly freeCpuMillis: number;
  readonly capacityCpuMillis: number;
  readonly queuedCpuMillisMs: number;
  readonly answer: Omit<AskedCell, 'cell'> | null;
}

/** What would happen to the job now. */
export type PreviewDecision =
  | { readonly type: 'assigned'; readonly assignments: readonly CellAssignment[] }
  | { readonly type: 'refused'; readonly reason: string; readonly retryAfterMs: number }
  /** No cell answered in time, so that the job would be sent by load alone. */
  | { readonly type: 'unknown'; readonly assignments: readonly CellAssignment[] };

/** Where a job would go now, with the figures that decide it. */
export interface PlacementPreview {
  readonly policy: QueuePolicy;
  readonly configurationVersion: number;
  readonly cells: readonly CellPreview[];
  readonly decision: PreviewDecision;
}

/** Dependencies of a `PlacementPreviewer`. */
export interface PlacementPreviewerParts {
  readonly cluster: Pick<Cluster, 'ownDomainCells' | 'serving' | 'roomIn' | 'ownerOf' | 'run'>;
  readonly queues: QueueTable;
  readonly random: RandomSource;
  readonly clock: Clock;
  readonly journal: DispatchJournal;
}

/** Id of the job that is asked about; no client's job has an id of this form. */
const PREVIEW_ID = 'preview';
const MAX_TASKS = 100_000;
const AMOUNTS = ['cpuMillis', 'memoryMb', 'accelerators', 'estimateMs', 'deadlineInMs'] as const;
const NAMES = ['requiredLabel', 'preferredRack'] as const;
const NO_CELL = { type: 'refused', reason: 'no-cell', retryAfterMs: 0 } as const;

function isAmount(value: unknown): boolean {
  return typeof value === 'number' && Number.isFinite(value) && value >= 0;
}

/** Checks a received request; the error says what was expected. */
export function readPreviewRequest(value: unknown): Result<PreviewRequest, string> {
  if (typeof value !== 'object' || value === null) return Err('expected an object');
  const fields = value as Record<string, unknown>;
  if (typeof fields.queue !== 'string') return Err('queue: expected the name of a queue');
  const { taskCount } = fields;
  const isCount = Number.isInteger(taskCount) && (taskCount as number) > 0;
  if (!isCount || (taskCount as number) > MAX_TASKS) {
    return Err(`taskCount: expected a whole number from 1 to ${MAX_TASKS}`);
  }
  const wrongAmount = AMOUNTS.find((name) => !isAmount(fields[name]));
  if (wrongAmount) return Err(`${wrongAmount}: expected a number of at least 0`);
  const wrongName = NAMES.find((name) => fields[name] !== null && typeof fields[name] !== 'string');
  if (wrongName) return Err(`${wrongName}: expected a text or null`);
  return Ok(value as PreviewRequest);
}

function totalFree({ freeCpuMillis }: CellSummary): number {
  return freeCpuMillis.reduce((sum, cpu) => sum + cpu, 0);
}

/** Answers questions about where jobs would go. */
export class PlacementPreviewer {
  readonly #parts: PlacementPreviewerParts;

  readonly #sender: BatchSender;

  readonly #division: JobDivision;

  constructor(parts: PlacementPreviewerParts) {
    this.#parts = parts;
    this.#sender = new BatchSender({ ...parts, prefix: PREVIEW_ID });
    this.#division = new JobDivision(parts.cluster, parts.journal);
  }

  /** Where the job would go now; the error names a queue that is not in force. */
  async preview(request: PreviewRequest): Promise<Result<PlacementPreview, string>> {
    const { queues, cluster, random } = this.#parts;
    const { configuration } = queues;
    const binding = configuration?.bindings.find(({ policy }) => policy.name === request.queue);
    if (!configuration || !binding) return Err(`queue: no queue ${request.queue} is in force`);
    if (binding.unsupported) return Err(`queue: ${binding.unsupported} is not supported`);
    const { taskCount: tasks, cpuMillis, estimateMs } = request;
    const demand = { tasks, cpuMillis, estimateMs };
    const serving = cluster.serving();
    const byLoad = spreadTasks(serving, cluster.ownDomainCells, demand, random);
    const asked = await this.#division.ask(this.#batchOf(request, binding.policy), true);
    return Ok({
      policy: binding.policy,
      configurationVersion: configuration.version,
      cells: serving.map((summary) => this.#cellPreview(summary, asked)),
      decision: this.#decide(byLoad, asked, tasks),
    });
  }

  /** A job goes whole to the cell that the router chooses, unless that one would refuse it. */
  #decide(
    byLoad: readonly CellAssignment[],
    asked: readonly AskedCell[],
    tasks: number,
  ): PreviewDecision {
    const [first] = byLoad;
    if (!first) return NO_CELL;
    const answer = asked.find(({ cell }) => cell === first.cell);
    const isAdmitted = answer !== undefined && answer.tasks >= tasks;
    if (byLoad.length === 1 && isAdmitted) return { type: 'assigned', assignments: byLoad };
    const division = this.#division.decide(asked, tasks);
    return division.type === 'unknown' ? { type: 'unknown', assignments: byLoad } : division;
  }

  #cellPreview(summary: CellSummary, asked: readonly AskedCell[]): CellPreview {
    const { cell, capacityCpuMillis, queuedCpuMillisMs } = summary;
    return {
      cell,
      isOwnDomain: this.#parts.cluster.ownDomainCells.has(cell),
      freeCpuMillis: totalFree(summary),
      capacityCpuMillis,
      queuedCpuMillisMs,
      answer: asked.find((other) => other.cell === cell) ?? null,
    };
  }

  #batchOf(request: PreviewRequest, policy: QueuePolicy): TaskBatch {
    const { taskCount, estimateMs, deadlineInMs } = request;
    const { cpuMillis, memoryMb, accelerators, requiredLabel, preferredRack } = request;
    const shape = {
      cpuMillis,
      memoryMb,
      accelerators,
      requiredLabel,
      preferredRack,
      tasksPerWorker: null,
    };
    const step = { taskCount, shape, estimateMs, after: [] };
    const tasks = Array.from({ length: taskCount }, (_, index) => ({
      name: `${PREVIEW_ID}.0.0.${index}`,
      failures: 0,
      lastRun: 0,
      mayRun: false,
    }));
    const job = { id: PREVIEW_ID, payload: '', steps: [step] };
    const nowMs = this.#parts.clock.nowMs();
    const running = new RunningJob({ job, policy, deadlineInMs }, nowMs, nowMs + deadlineInMs);
    return this.#sender.batchOf(running, { step, tasks, otherStepsMs: 0 }, false, false);
  }
}
