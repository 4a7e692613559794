/**
 * Reads the settings of a dispatcher from INI text. Unknown sections and keys are ignored, so that
 * older programs accept newer files. All missing and invalid values are reported together, with
 * their lines.
 */
import { Err, Ok, type Result } from 'ts-results';
import { OverloadPolicyName } from '../cells/overloadPolicy';
import { parseAddress } from '../settings/address';
import type { Finding } from '../settings/finding';
import { parseIni, type IniDocument } from '../settings/iniDocument';

/** Settings of one process; durations are in milliseconds, addresses `ip:port`. */
export interface DispatcherSettings {
  readonly hostId: string;
  readonly domain: string;
  /** CPU cores that this process may use. */
  readonly cores: number;
  /** Names of all failure domains. */
  readonly domains: readonly string[];
  readonly callersAddress: string;
  readonly readinessAddress: string;
  readonly peersAddress: string;
  /** Address at which other hosts reach this one; `peersAddress` by default. */
  readonly announcedAddress: string;
  readonly metricsAddress: string;
  readonly seeds: readonly string[];
  readonly storeAddress: string;
  readonly leaseMs: number;
  /**
   * Time from which a start on a worker must respect a capacity that the worker has announced; it
   * matters for workers that do not guard their room.
   */
  readonly capacityNoticeMs: number;
  /**
   * Time after losing an answer at which clients resubmit a job; all its runs have ended by then.
   */
  readonly resubmissionMs: number;
  /** Time for which callers may ask for the state of a job after its end. */
  readonly jobStateMs: number;
  readonly drainMs: number;
  /** Who waits and who is refused while a cell has too little room. */
  readonly overloadPolicy: OverloadPolicyName;
  readonly linesPerSecond: number;
}

const MS_PER_S = 1000;

type Reader<T> = (text: string) => T | null;

function readName(text: string): string | null {
  return text === '' ? null : text;
}

function readAddress(text: string): string | null {
  return parseAddress(text) === null ? null : text;
}

function readPolicy(text: string): OverloadPolicyName | null {
  return Object.values(OverloadPolicyName).find((name) => name === text) ?? null;
}

function readList<T>(read: Reader<T>): Reader<readonly T[]> {
  return (text) => {
    const parts = text.split(',').map((part) => part.trim());
    const values = parts.filter((part) => part !== '').map(read);
    return values.includes(null) ? null : (values as readonly T[]);
  };
}

function readNonEmptyList<T>(read: Reader<T>): Reader<readonly T[]> {
  return (text) => {
    const values = readList(read)(text);
    return values === null || values.length === 0 ? null : values;
  };
}

function readInteger(min: number, max: number): Reader<number> {
  return (text) => {
    const value = Number(text);
    return /^\d+$/.test(text) && value >= min && value <= max ? value : null;
  };
}

/** A number of seconds, as milliseconds. */
function readSeconds(max: number): Reader<number> {
  return (text) => {
    const value = Number(text);
    return /^\d+(\.\d+)?$/.test(text) && value <= max ? value * MS_PER_S : null;
  };
}

/** Reads the values of one document and collects findings for missing and invalid ones. */
class SettingsReader {
  readonly findings: Finding[] = [];

  readonly #document: IniDocument;

  constructor(document: IniDocument) {
    this.#document = document;
  }

  value<T>(section: string, key: string, expected: string, read: Reader<T>): T {
    const { file, sections } = this.#document;
    const present = sections.get(section);
    const value = present?.values.get(key);
    const result = value === undefined ? null : read(value.text);
    if (result !== null) return result;
    this.findings.push({
      file,
      line: value?.line ?? present?.line ?? 0,
      section,
      key,
      expected,
      found: value === undefined ? 'nothing' : JSON.stringify(value.text),
    });
    // The settings are discarded if there is a finding.
    return undefined as T;
  }

  optional<T>(section: string, key: string, expected: string, read: Reader<T>, fallback: T): T {
    if (!this.#document.sections.get(section)?.values.has(key)) return fallback;
    return this.value(section, key, expected, read);
  }
}

/** Product of factors separated by `x`, such as `2 x 0.675` for 67.5 % of 2 cores. */
function readProduct(text: string): number | null {
  const factors = text.split('x').map((factor) => Number(factor.trim() || 'none'));
  const product = factors.reduce((left, right) => left * right, 1);
  return Number.isFinite(product) && product > 0 ? product : null;
}

const ADDRESS = 'an IP number and a port, such as 127.0.0.1:7000';
const MAX_LEASE_MS = 60_000;
/** Lists of workers are up to a second old where another host reads them. */
const MIN_CAPACITY_NOTICE_MS = 2000;
const MAX_CAPACITY_NOTICE_MS = 600_000;
const DEFAULT_CAPACITY_NOTICE_MS = 3000;
/**
 * Submitters renew their interest every 150 ms, and leases must outlast a few of these renewals.
 */
const MIN_RESUBMISSION_MS = 600;
const DEFAULT_RESUBMISSION_MS = 1300;
const MAX_JOB_STATE_S = 3600;
const DEFAULT_JOB_STATE_MS = 120_000;
const MAX_DRAIN_S = 600;
const MAX_LINES_PER_SECOND = 100_000;
const DEFAULT_LINES_PER_SECOND = 400;

/** Reads and validates the text of a settings file; `file` is its name in findings. */
export function readDispatcherSettings(
  file: string,
  text: string,
): Result<DispatcherSettings, readonly Finding[]> {
  const { document, findings } = parseIni(file, text);
  const reader = new SettingsReader(document);
  const address = (section: string, key: string) =>
    reader.value(section, key, ADDRESS, readAddress);
  const peersAddress = address('listen', 'peers');
  const settings: DispatcherSettings = {
    hostId: reader.value('host', 'id', 'the name of this host', readName),
    cores: reader.optional('host', 'cores', 'cores, or cores x share', readProduct, 1),
    domain: reader.value('host', 'domain', 'the failure domain of this host', readName),
    domains: reader.value(
      'host',
      'domains',
      'names of failure domains, separated by commas',
      readNonEmptyList(readName),
    ),
    callersAddress: address('listen', 'callers'),
    readinessAddress: address('listen', 'readiness'),
    peersAddress,
    announcedAddress: reader.optional(
      'listen',
      'peers-announced',
      ADDRESS,
      readAddress,
      peersAddress,
    ),
    metricsAddress: address('listen', 'metrics'),
    seeds: reader.optional('peers', 'seeds', `${ADDRESS}; or several`, readList(readAddress), []),
    storeAddress: address('store', 'address'),
    leaseMs: reader.value(
      'workers',
      'lease-ms',
      `a whole number from 100 to ${MAX_LEASE_MS}`,
      readInteger(100, MAX_LEASE_MS),
    ),
    capacityNoticeMs: reader.optional(
      'workers',
      'capacity-notice-ms',
      `a whole number from ${MIN_CAPACITY_NOTICE_MS} to ${MAX_CAPACITY_NOTICE_MS}`,
      readInteger(MIN_CAPACITY_NOTICE_MS, MAX_CAPACITY_NOTICE_MS),
      DEFAULT_CAPACITY_NOTICE_MS,
    ),
    resubmissionMs: reader.optional(
      'callers',
      'resubmission-ms',
      `a whole number from ${MIN_RESUBMISSION_MS} to ${MAX_LEASE_MS}`,
      readInteger(MIN_RESUBMISSION_MS, MAX_LEASE_MS),
      DEFAULT_RESUBMISSION_MS,
    ),
    jobStateMs: reader.optional(
      'callers',
      'job-state-seconds',
      `a number up to ${MAX_JOB_STATE_S}`,
      readSeconds(MAX_JOB_STATE_S),
      DEFAULT_JOB_STATE_MS,
    ),
    drainMs: reader.value(
      'host',
      'drain-seconds',
      `a number up to ${MAX_DRAIN_S}`,
      readSeconds(MAX_DRAIN_S),
    ),
    overloadPolicy: reader.optional(
      'overload',
      'policy',
      Object.values(OverloadPolicyName).join(' or '),
      readPolicy,
      OverloadPolicyName.equalShares,
    ),
    linesPerSecond: reader.optional(
      'log',
      'lines-per-second',
      `a whole number from 1 to ${MAX_LINES_PER_SECOND}`,
      readInteger(1, MAX_LINES_PER_SECOND),
      DEFAULT_LINES_PER_SECOND,
    ),
  };
  const all = [...findings, ...reader.findings];
  return all.length === 0 ? Ok(settings) : Err(all);
}
