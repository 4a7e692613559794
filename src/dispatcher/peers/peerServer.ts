/**
 * HTTP server for the peer interface: checks the requests and passes them on. A batch call stays
 * open until the batch has ended.
 */
import type { Result } from 'ts-results';
import type { CellRoom, TaskBatch } from '../../cells/messages';
import type { DispatchJournal } from '../journal';
import { readClocks, type HostClock } from './peerClocks';
import {
  parseBody,
  PeerPath,
  type BatchCall,
  type HostStatus,
  type RoomRequest,
  type RunsReply,
  type RunsRequest,
  type StatusRequest,
} from './peerMessages';
import {
  readPreviewRequest,
  type PlacementPreview,
  type PreviewRequest,
} from '../jobs/placementPreview';
import type { QueueConfiguration } from '../jobs/queueTable';
import { ReceivedBatches, type BatchHandler } from './receivedBatches';
import { TransferSlots } from './transferSlots';
import { JsonServer } from '../transport/jsonServer';
import type { ServerCall } from '../transport/serverCall';

/** Handles the calls that a peer server receives. */
export interface PeerHandler extends BatchHandler {
  status(statusRequest: StatusRequest): HostStatus;
  /** Whether runs of the job may be in progress in a cell of this host. */
  runsOf(cell: string, jobId: string): RunsReply;
  /** How many tasks of a batch a cell of this host could end in time; null for other cells. */
  roomIn(cell: string, batch: TaskBatch, namesWorker: boolean): CellRoom | null;
  /** Where a job would go now; the error says what is wrong with the request. */
  preview(request: PreviewRequest): Promise<Result<PlacementPreview, string>>;
  configuration(): QueueConfiguration | null;
}

/** Configurations that are sent at a time, as they share the link with all other calls. */
const CONFIGURATION_SLOTS = 2;
/** Longest time for which a configuration that is being sent counts. */
const CONFIGURATION_SLOT_MS = 3000;

/** Serves the peer interface of one host. */
export class PeerServer {
  readonly #handler: PeerHandler;

  readonly #clock: HostClock;

  readonly #server: JsonServer;

  readonly #batches: ReceivedBatches;

  readonly #configurationSlots = new TransferSlots(CONFIGURATION_SLOTS, CONFIGURATION_SLOT_MS);

  constructor(handler: PeerHandler, clock: HostClock, journal: DispatchJournal) {
    this.#handler = handler;
    this.#clock = clock;
    this.#batches = new ReceivedBatches(handler, clock, journal);
    this.#server = new JsonServer((call) => {
      this.#serve(call).catch((error: unknown) => {
        journal.logDecision('peer-request-failed', { path: call.path, error: String(error) });
        call.destroy();
      });
    });
  }

  /** Listens at `ip:port`. */
  listen(ip: string, port: number): Promise<void> {
    return this.#server.listen(ip, port);
  }

  close(): void {
    this.#batches.close();
    this.#server.close();
  }

  /** Extends the timeouts after a pause of this process, during which it could read no messages. */
  resume(): void {
    this.#batches.resume();
  }

  async #serve(request: ServerCall): Promise<void> {
    switch (request.path) {
      case PeerPath.status:
        this.#answerStatus(request);
        break;
      case PeerPath.batches:
        await this.#answerBatch(request);
        break;
      case PeerPath.runs:
        this.#answerRuns(request);
        break;
      case PeerPath.room:
        this.#answerRoom(request);
        break;
      case PeerPath.placement:
        await this.#answerPlacement(request);
        break;
      case PeerPath.configuration:
        this.#answerConfiguration(request);
        break;
      default:
        request.reply(404, { detail: `no such path: ${request.path}` });
    }
  }

  #answerStatus(request: ServerCall): void {
    const statusRequest = parseBody<StatusRequest>(request.text, [
      'from',
      'configurationVersion',
      'records',
    ]);
    if (!statusRequest) {
      request.reply(400, { detail: 'expected from, configurationVersion and records' });
      return;
    }
    const batches = this.#batches.receiveStatus(statusRequest);
    const clocks = readClocks(this.#clock);
    request.reply(200, { ...this.#handler.status(statusRequest), batches, clocks });
  }

  /** A host that is refused asks another one; several copies are enough to pass them on. */
  #answerConfiguration(request: ServerCall): void {
    const release = this.#configurationSlots.take(this.#clock.nowMs());
    if (release) request.reply(200, this.#handler.configuration(), release);
    else request.reply(503, { detail: 'other hosts are being sent the configuration' });
  }

  #answerRuns(request: ServerCall): void {
    const runsRequest = parseBody<RunsRequest>(request.text, ['cell', 'jobId']);
    if (!runsRequest) {
      request.reply(400, { detail: 'expected cell and jobId' });
      return;
    }
    const { cell, jobId } = runsRequest;
    request.reply(200, this.#handler.runsOf(cell, jobId));
  }

  #answerRoom(request: ServerCall): void {
    const roomRequest = parseBody<RoomRequest>(request.text, ['cell', 'batch']);
    if (!roomRequest) {
      request.reply(400, { detail: 'expected cell and batch' });
      return;
    }
    const { cell, batch, namesWorker = false } = roomRequest;
    request.reply(200, { room: this.#handler.roomIn(cell, batch, namesWorker) });
  }

  /** Answers an operator's question; the request is checked, because it is written by hand. */
  async #answerPlacement(call: ServerCall): Promise<void> {
    const request = readPreviewRequest(parseBody(call.text, []));
    const preview = request.ok ? await this.#handler.preview(request.val) : request;
    if (preview.ok) call.reply(200, preview.val);
    else call.reply(400, { detail: preview.val });
  }

  async #answerBatch(request: ServerCall): Promise<void> {
    const call = parseBody<BatchCall>(request.text, ['from', 'cell', 'batch']);
    if (call) await this.#batches.answer(call, request);
    else request.reply(400, { detail: 'expected from, cell and batch' });
  }
}
