/**
 * Reloads the settings file on a signal, or when a periodic check finds it changed. Of valid
 * settings, those that can change in a running process take effect. Invalid settings are rejected
 * with all findings logged, and the old ones stay in force.
 */
import { readFile } from 'node:fs/promises';
import { formatFinding } from '../settings/finding';
import type { DispatchJournal } from './journal';
import { readDispatcherSettings, type DispatcherSettings } from './settings';

/** Dependencies of a settings reloader. */
export interface SettingsReloaderParts {
  readonly path: string;
  readonly settings: DispatcherSettings;
  readonly journal: DispatchJournal;
  /** Applies the settings that can change in a running process. */
  readonly apply: (settings: DispatcherSettings) => void;
}

const CHECK_PERIOD_MS = 2000;
/** Settings that can change in a running process; the others take effect at the next start. */
const RELOADABLE_SETTINGS: ReadonlySet<string> = new Set(['linesPerSecond', 'drainMs']);

/** Watches and reloads one settings file. */
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

  /** Reads the file, and applies it if it has changed and is valid. */
  async read(cause: string): Promise<void> {
    const { path, journal } = this.#parts;
    try {
      const text = await readFile(path, 'utf8');
      const isUnchanged = text === this.#text;
      this.#text = text;
      if (!isUnchanged) this.#applyText(text, cause);
    } catch (thrown) {
      const error = thrown instanceof Error ? thrown.message : String(thrown);
      journal.logDecision('settings-unread', { cause, error });
    }
  }

  #applyText(text: string, cause: string): void {
    const { path, journal, apply } = this.#parts;
    const settings = readDispatcherSettings(path, text);
    if (settings.err) {
      journal.logDecision('settings-refused', { cause, findings: settings.val.map(formatFinding) });
      return;
    }
    const changed = this.#changedNames(settings.val);
    if (changed.length === 0) return;
    const nextStart = changed.filter((name) => !RELOADABLE_SETTINGS.has(name));
    journal.logDecision('settings-reloaded', { cause, changed, nextStart });
    this.#settings = settings.val;
    apply(settings.val);
  }

  #changedNames(settings: DispatcherSettings): readonly string[] {
    const names = Object.keys(settings) as (keyof DispatcherSettings)[];
    return names.filter(
      (name) => JSON.stringify(settings[name]) !== JSON.stringify(this.#settings[name]),
    );
  }
}
