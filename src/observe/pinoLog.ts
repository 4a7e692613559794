/**
 * Structured log on pino, written asynchronously to a file descriptor. A destination that blocks or
 * fails delays nothing: lines beyond the buffer limit are dropped and counted. `close` flushes.
 */
import { destination, pino, stdSerializers } from 'pino';
import type { DestinationStream, Logger } from 'pino';
import type { Log, LogFields } from './observer';

/** Bytes of lines that may wait for the destination: a fraction of the memory of a small host. */
const BUFFER_LIMIT_BYTES = 16 * 1024 * 1024;

/** Lines are written in chunks of this size or after this time, to save system calls. */
const CHUNK_BYTES = 8192;
const FLUSH_PERIOD_MS = 100;

/** A destination that does not take the last lines within this time is given up. */
const FLUSH_LIMIT_MS = 2000;

const STDOUT_FD = 1;

type Destination = ReturnType<typeof destination>;

/** `fd` is an open file descriptor, standard output by default; `base` is in every line. */
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

/** Log of one process. */
export class PinoLog implements Log {
  readonly #destination: Destination;

  readonly #logger: Logger;

  /** JSON members that are in every line, each preceded by a comma. */
  readonly #base: string;

  #lost = 0;

  /** The reader of a pipe has gone; pino then turns the destination's methods off. */
  #broken = false;

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
      this.#lost += 1;
      this.#broken ||= error.code === 'EPIPE';
    });
    this.#destination.on('drop', () => {
      this.#lost += 1;
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
   * Writes one `info` line with the given fields, whatever the level of this log. For lines of the
   * hot path: JSON.stringify on plain values takes about half the time of pino's serialization.
   */
  writeLine(fields: LogFields): void {
    const time = `{"level":"info","timeMs":${Date.now()}${this.#base}`;
    try {
      const members = JSON.stringify(fields).slice(1);
      this.#write(members === '}' ? `${time}}\n` : `${time},${members}\n`);
    } catch {
      // Pino serializes values that JSON.stringify refuses, such as circular ones.
      this.#logger.child({}, { level: 'info' }).info(fields);
    }
  }

  /** Write errors of the destination and lines that it did not take. */
  lost(): number {
    return this.#lost;
  }

  /** The destination throws when it has been closed. */
  #write(line: string): void {
    try {
      this.#destination.write(line);
    } catch {
      this.#lost += 1;
    }
  }

  /** Flushes all lines and closes the destination; it never rejects and takes at most 2 s. */
  close(): Promise<void> {
    if (this.#broken) return Promise.resolve();
    this.#closing ??= new Promise((resolve) => {
      // Without `destroy`, pino's exit hook retries a failing destination without end.
      const giveUp = () => {
        this.#destination.destroy();
        resolve();
      };
      const timer = setTimeout(giveUp, FLUSH_LIMIT_MS);
      this.#destination.once('close', () => {
        clearTimeout(timer);
        resolve();
      });
      this.#destination.once('error', giveUp);
      this.#destination.end();
    });
    return this.#closing;
  }
}
