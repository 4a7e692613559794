/** Settings of an entry host process, INI parsing and validation findings. */
export { parseAddress, splitAddress } from './address';
export type { HostPort } from './address';
export { formatFinding } from './finding';
export type { Finding } from './finding';
export { parseIni } from './iniDocument';
export type { IniDocument, IniSection, IniValue } from './iniDocument';
export { checkSettings, coreOptions, loadSettings } from './settings';
export { LOG_LEVELS, SETTINGS_KEYS } from './settingsSchema';
export type { LogLevel, Settings } from './settingsSchema';
