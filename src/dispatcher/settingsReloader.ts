/**
 * Reads the settings again on a signal, or when the file has changed without one. Valid settings take
 * effect where they can in a running process; invalid ones leave the old in force, with all findings
 * logged.
 */
import { readFile } from 'node:fs/promises';
import { formatFinding } from '../settings/finding';
import type { DispatchJournal } from './journal';
import { readDispatcherSettings, type DispatcherSettings } from './settings';

/** What a reload is built from. */
export interface SettingsReloaderParts {
  readonly path: string;
  readonly settings: DispatcherSettings;
  readonly journal: DispatchJournal;
  /** Puts in force what a running process can change. */
  readonly apply: (settings: DispatcherSettings) => void;
}

const CHECK_PERIOD_MS = 2000;
/** Settings that a running process can change; the others wait for the next start. */
const LIVE_SETTINGS: ReadonlySet<string> = new Set(['linesPerSecond', 'drainMs']);

/** Watches one settings file. */
export class SettingsReloader {
  readonly #parts: SettingsReloaderParts;

  readonly #timer: NodeJS.Timeout;

  #settings: DispatcherSettings;

  #text: string | null = null;

  constructor(parts: SettingsReloaderParts) {
    this.#parts = parts;
    this.#settings = parts.settings;
    this.#timer = setInterval(() => this.read('changed file'), CHECK_PERIOD_MS);
    this.#timer.unref();
  }

  close(): void {
    clearInterval(this.#timer);
  }

  /** Reads the file and puts it in force if it has changed and is valid. */
  async read(cause: string): Promise<void> {
    const { path, journal } = this.#parts;
    try {
      const text = await readFile(path, 'utf8');
      const isKnown = text === this.#text;
      this.#text = text;
      if (!isKnown) this.#take(text, cause);
    } catch (thrown) {
      const error = thrown instanceof Error ? thrown.message : String(thrown);
      journal.logDecision('settings-unread', { cause, error });
    }
  }

  #take(text: string, cause: string): void {
    const { path, journal, apply } = this.#parts;
    const settings = readDispatcherSettings(path, text);
    if (settings.err) {
      journal.logDecision('settings-refused', { cause, findings: settings.val.map(formatFinding) });
      return;
    }
    const changed = this.#changes(settings.val);
    if (changed.length === 0) return;
    const nextStart = changed.filter((name) => !LIVE_SETTINGS.has(name));
    journal.logDecision('settings-reloaded', { cause, changed, nextStart });
    this.#settings = settings.val;
    apply(settings.val);
  }

  #changes(settings: DispatcherSettings): readonly string[] {
    const names = Object.keys(settings) as (keyof DispatcherSettings)[];
    return names.filter(
      (name) => JSON.stringify(settings[name]) !== JSON.stringify(this.#settings[name]),
    );
  }
}
