/** What the commands need from the program that they are part of. */
import type { Finding } from '../settings/finding';
import type { Settings } from '../settings/settingsSchema';
import type { ExitCode } from './exitCode';
import type { Terminal } from './terminal';
import type { Timer } from './waitInForce';

/** Options of `demo`: a deployment of stand-ins in one process. */
export interface DemoOptions {
  readonly hosts: number;
  readonly workers: number;
  readonly seconds: number;
}

/** Options of `standins`: ports as the sample settings name them, and workers per domain. */
export interface StandinsOptions {
  readonly storePort: number;
  readonly hostListPort: number;
  readonly domains: readonly string[];
  readonly workers: number;
}

/** Options of `load`: jobs at a steady rate to the caller addresses of entry hosts. */
export interface LoadOptions {
  readonly hosts: readonly string[];
  readonly team: string;
  readonly kind: string;
  readonly jobsPerSecond: number;
  readonly tasks: number;
  readonly taskMs: number;
  readonly deadlineMs: number;
  readonly seconds: number;
  readonly json: boolean;
}

/**
 * Parts of the program that the commands call. A function that rejects ends its command with the
 * exit code for failure.
 */
export interface ProgramContext {
  /** Runs an entry host until it has drained. */
  run(settings: Settings): Promise<void>;
  demo(options: DemoOptions, terminal: Terminal): Promise<void>;
  standins(options: StandinsOptions, terminal: Terminal): Promise<void>;
  load(options: LoadOptions, terminal: Terminal): Promise<void>;
  /** Checks an operators' configuration without a host. */
  checkConfiguration(file: string, text: string): readonly Finding[];
  readonly terminal: Terminal;
  readonly timer: Timer;
  /** Name under which configurations are published unless one is given. */
  readonly user: string;
  /** Takes the exit code of the command that was run. */
  exit(code: ExitCode): void;
}
