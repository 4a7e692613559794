/** Client of the operator API of one host. */
import { Err, Ok } from 'ts-results';
import type { Result } from 'ts-results';
import type { Member } from '../core/messages';
import { OPERATOR_PREFIX } from '../host/operatorApiRoutes';
import type {
  ConfigurationChange,
  ConfigurationView,
  GenerationInForce,
  HostStatus,
  PublishRequest,
  QueueView,
  WorkerView,
} from '../host/operatorService';
import { errorOfAnswer } from './callError';
import type { CallError } from './callError';
import { ExitCode } from './exitCode';
import { HttpClient } from './httpClient';
import type { HttpCall, HttpFailure } from './httpClient';

/** Above the time limit of the operator API, so that the host's own answer comes first. */
const ANSWER_TIMEOUT_MS = 35_000;
const FIRST_ERROR_STATUS = 400;

/** Result of a call. */
export type Called<T> = Promise<Result<T, CallError>>;

/** A publication that was accepted. */
export interface Published {
  readonly generation: number;
  readonly publicationId: string;
}

/** A read that breaks off has changed nothing; a change that breaks off may have taken effect. */
function errorOfFailure(failure: HttpFailure, changes: boolean): CallError {
  const unknown = changes && failure.reached;
  return {
    exitCode: unknown ? ExitCode.unknown : ExitCode.unreachable,
    message: `${unknown ? 'outcome unknown' : 'unreachable'}: ${failure.message}`,
    findings: [],
  };
}

/** Client of one host at `ip:port`. */
export class OperatorClient {
  readonly #http: HttpClient;

  constructor(address: string, timeoutMs: number = ANSWER_TIMEOUT_MS) {
    this.#http = new HttpClient(address, timeoutMs);
  }

  status(): Called<HostStatus> {
    return this.#read('/status');
  }

  members(): Called<readonly Member[]> {
    return this.#read('/members');
  }

  workers(): Called<readonly WorkerView[]> {
    return this.#read('/workers');
  }

  queues(): Called<readonly QueueView[]> {
    return this.#read('/queues');
  }

  configuration(): Called<ConfigurationView | null> {
    return this.#read('/configuration');
  }

  inForce(): Called<readonly GenerationInForce[]> {
    return this.#read('/configuration/in-force');
  }

  checkConfiguration(file: string, text: string): Called<unknown> {
    return this.#post('/configuration/check', { file, text }, false);
  }

  diffConfiguration(text: string): Called<readonly ConfigurationChange[]> {
    return this.#post('/configuration/diff', { text }, false);
  }

  publishConfiguration(request: PublishRequest): Called<Published> {
    return this.#post('/configuration', request, true);
  }

  drain(): Called<unknown> {
    return this.#post('/drain', {}, true);
  }

  close(): Promise<void> {
    return this.#http.close();
  }

  #read<T>(path: string): Called<T> {
    return this.#call<T>({ method: 'GET', path: `${OPERATOR_PREFIX}${path}` }, false);
  }

  #post<T>(path: string, body: unknown, changes: boolean): Called<T> {
    return this.#call<T>({ method: 'POST', path: `${OPERATOR_PREFIX}${path}`, body }, changes);
  }

  async #call<T>(call: HttpCall, changes: boolean): Called<T> {
    const answer = await this.#http.call(call);
    if (answer.err) return Err(errorOfFailure(answer.val, changes));
    const { status, body } = answer.val;
    if (status < FIRST_ERROR_STATUS) return Ok(body as T);
    const error = errorOfAnswer(status, body);
    // The host's own time limit, or a proxy's, says nothing of whether the change took effect.
    const unclear = changes && status === 504;
    return Err(unclear ? { ...error, exitCode: ExitCode.unknown } : error);
  }
}
