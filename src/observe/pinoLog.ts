/**
 * Structured log based on pino, written asynchronously to a file descriptor. A destination that
 * blocks or fails does not delay the caller: lines beyond the buffer limit are dropped and counted.
 * `close` flushes the buffer.
 */
import { destination, pino, stdSerializers } from 'pino';
import type { DestinationStream, Logger } from 'pino';
import type { Log, LogFields } from './observer';

/** Maximum size of buffered lines; a small part of the memory of a small host. */
const BUFFER_LIMIT_BYTES = 16 * 1024 * 1024;

/** Lines are written in chunks of this size, or after this period, to save system calls. */
const CHUNK_BYTES = 8192;
const FLUSH_PERIOD_MS = 100;

/** Timeout of the flush in `close`; the lines not written by then are lost. */
const FLUSH_TIMEOUT_MS = 2000;

const STDOUT_FD = 1;

type Destination = ReturnType<typeof destination>;

/**
 * `fd` is an open file descriptor, by default standard output. The fields of `base` are added to
 * every line.
 */
export interface LogOptions {
  readonly level: 'debug' | 'info' | 'warn' | 'error';
  readonly fd?: number;
  readonly base?: LogFields;
}

function createLogger(options: LogOptions, stream: DestinationStream): Logger {
  return pino(
    {
      level: options.level,
      base: options.base ?? {},
      messageKey: 'message',
      timestamp: () => `,"timeMs":${Date.now()}`,
      formatters: { level: (label) => ({ level: label }) },
      serializers: { error: stdSerializers.err },
    },
    stream,
  );
}

/** Logger of one process. */
export class PinoLog implements Log {
  readonly #destination: Destination;

  readonly #logger: Logger;

  /** The base fields as JSON members, each preceded by a comma. */
  readonly #base: string;

  #lostCount = 0;

  /**
   * Whether the reader of the pipe has closed it; pino then disables the methods of the
   * destination.
   */
  #pipeClosed = false;

  #closing: Promise<void> | null = null;

  constructor(options: LogOptions) {
    this.#destination = destination({
      dest: options.fd ?? STDOUT_FD,
      sync: false,
      minLength: CHUNK_BYTES,
      periodicFlush: FLUSH_PERIOD_MS,
      maxLength: BUFFER_LIMIT_BYTES,
    });
    this.#destination.on('error', (error: NodeJS.ErrnoException) => {
      this.#lostCount += 1;
      this.#pipeClosed ||= error.code === 'EPIPE';
    });
    this.#destination.on('drop', () => {
      this.#lostCount += 1;
    });
    const base = JSON.stringify(options.base ?? {}).slice(1, -1);
    this.#base = base === '' ? '' : `,${base}`;
    this.#logger = createLogger(options, { write: (line) => this.#write(line) });
  }

  debug(message: string, fields: LogFields = {}): void {
    this.#logger.debug(fields, message);
  }

  info(message: string, fields: LogFields = {}): void {
    this.#logger.info(fields, message);
  }

  warn(message: string, fields: LogFields = {}): void {
    this.#logger.warn(fields, message);
  }

  error(message: string, fields: LogFields = {}): void {
    this.#logger.error(fields, message);
  }

  /**
   * Writes one `info` line with the given fields, regardless of the log level. Intended for the hot
   * path: JSON.stringify on plain values takes about half the time of pino's serialization.
   */
  writeLine(fields: LogFields): void {
    const linePrefix = `{"level":"info","timeMs":${Date.now()}${this.#base}`;
    try {
      const members = JSON.stringify(fields).slice(1);
      this.#write(members === '}' ? `${linePrefix}}\n` : `${linePrefix},${members}\n`);
    } catch {
      // Pino serializes values for which JSON.stringify throws, such as circular ones.
      this.#logger.child({}, { level: 'info' }).info(fields);
    }
  }

  /** Number of write errors of the destination plus lines that it rejected. */
  lost(): number {
    return this.#lostCount;
  }

  /** Counts the line as lost if the destination throws, as it does after it has been closed. */
  #write(line: string): void {
    try {
      this.#destination.write(line);
    } catch {
      this.#lostCount += 1;
    }
  }

  /** Flushes all lines and closes the destination. Takes at most 2 s and never rejects. */
  close(): Promise<void> {
    if (this.#pipeClosed) return Promise.resolve();
    this.#closing ??= new Promise((resolve) => {
      // Without `destroy`, the exit hook of pino retries a failing destination forever.
      const abort = () => {
        this.#destination.destroy();
        resolve();
      };
      const timer = setTimeout(abort, FLUSH_TIMEOUT_MS);
      this.#destination.once('close', () => {
        clearTimeout(timer);
        resolve();
      });
      this.#destination.once('error', abort);
      this.#destination.end();
    });
    return this.#closing;
  }
}
