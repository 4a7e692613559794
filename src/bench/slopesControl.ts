/**
 * Bytes a second of control, sent and received, that one host spends in each role at several numbers
 * of hosts. Worked out from the rows that the parts `messages`, `membership` and `wire` have measured.
 */
import { claimsPeriodMs } from '../core/claimSchedule';
import { DEFAULT_OPTIONS } from '../core/options';
import { idlePollPeriodMs } from '../core/statusPolls';
import { SLOTS } from './slopesFleet';
import { rowOf, type SlopeRow } from './slopesRow';
import { summaryRate } from './slopesSummary';
import { membershipRate } from './slopesMembership';

const GROUP = 'control bytes';
const SEED = 1;
const COMPARE_PERIOD_S = 2;
const CHANGES_PER_S = 3500 / 86_400;
const RELAYS = 2;

interface Size {
  readonly hosts: number;
  readonly domains: number;
  /** Workers of one domain. */
  readonly workers: number;
}

const SIZES: readonly Size[] = [
  { hosts: 3, domains: 3, workers: 10 },
  { hosts: 9, domains: 3, workers: 10 },
  { hosts: 18, domains: 6, workers: 165 },
  { hosts: 36, domains: 6, workers: 165 },
  { hosts: 72, domains: 6, workers: 165 },
];

type Figures = (name: string) => number;

/** Bytes a second of one mechanism. */
interface Line {
  readonly name: string;
  readonly bytesPerS: number;
}

function claimsPeriodS(workers: number): number {
  return claimsPeriodMs(workers * SLOTS) / 1000;
}

function pollPeriodS(workers: number): number {
  return idlePollPeriodMs(workers, DEFAULT_OPTIONS.statusPeriodMs) / 1000;
}

function figuresOf(rows: readonly SlopeRow[]): Figures {
  return (name) => {
    const row = rows.find((candidate) => candidate.name === name);
    if (!row) throw new Error(`run the parts messages and wire first: no row "${name}"`);
    return row.median;
  };
}

function ordinaryLines(size: Size, figure: Figures, flooded: boolean): readonly Line[] {
  const { hosts, domains, workers } = size;
  const batch = figure('peer batch of 1 message, bytes beyond the message');
  const { bytesPerS, messagesPerS } = membershipRate(hosts, SEED, 0);
  const summary = summaryRate(hosts, flooded);
  const slotsPerHost = (domains * workers * SLOTS) / hosts;
  const claims = (slotsPerHost * figure('slotClaims of 100, size')) / 100 + domains * batch;
  const push = figure('configurationPush of 51 teams, size') + batch;
  return [
    { name: 'membership', bytesPerS: 2 * (bytesPerS + messagesPerS * batch) },
    {
      name: 'load summaries received',
      bytesPerS: domains * (summary.bytesPerS + summary.messagesPerS * batch),
    },
    { name: 'claims sent, all slots in use', bytesPerS: claims / claimsPeriodS(workers) },
    {
      name: 'configuration compared with peers',
      bytesPerS: (2 * (figure('configurationPull, size') + batch)) / COMPARE_PERIOD_S,
    },
    { name: 'configuration changes', bytesPerS: RELAYS * CHANGES_PER_S * push },
    { name: 'host list', bytesPerS: figure('host list, unchanged') },
    {
      name: 'directory in the store',
      bytesPerS: figure(`directory, bytes of a host, ${hosts} hosts`),
    },
  ];
}

function schedulerLines(size: Size, figure: Figures, flooded: boolean): readonly Line[] {
  const { hosts, workers } = size;
  const batch = figure('peer batch of 1 message, bytes beyond the message');
  const summary = summaryRate(hosts, flooded);
  const claims = (workers * SLOTS * figure('slotClaims of 100, size')) / 100 + hosts * batch;
  return [
    {
      name: 'load summaries sent',
      bytesPerS: (hosts - 1) * (summary.bytesPerS + summary.messagesPerS * batch),
    },
    { name: 'claims received, all slots in use', bytesPerS: claims / claimsPeriodS(workers) },
    {
      // Results of a worker replace its polls, so this is the figure of a domain at rest.
      name: 'status polls at rest',
      bytesPerS: (workers * figure('status poll of a worker')) / pollPeriodS(workers),
    },
  ];
}

function relayLines(size: Size, figure: Figures): readonly Line[] {
  const peers = size.hosts / size.domains - 1;
  const push = figure('configurationPush of 51 teams, size');
  return [
    { name: 'reads and watch of the store', bytesPerS: figure('relay, bytes of store calls') },
    { name: 'configuration pushed to the domain', bytesPerS: peers * CHANGES_PER_S * push },
  ];
}

function totalOf(lines: readonly Line[]): number {
  return lines.reduce((sum, { bytesPerS }) => sum + bytesPerS, 0);
}

function rowsOf(size: Size, role: string, lines: readonly Line[]): readonly SlopeRow[] {
  return lines.map(({ name, bytesPerS }) =>
    rowOf(GROUP, `${size.hosts} hosts, ${role}: ${name}`, 'bytes/s', [bytesPerS]),
  );
}

function summaryRows({ hosts }: Size): readonly SlopeRow[] {
  return [false, true].flatMap((flooded) => {
    const { bytesPerS, messagesPerS } = summaryRate(hosts, flooded);
    const name = `${hosts} hosts, summaries of one domain to one host, ${flooded ? 'all teams waiting' : '70 % load'}`;
    return [
      rowOf(GROUP, name, 'bytes/s', [bytesPerS]),
      rowOf(GROUP, name, 'messages/s', [messagesPerS]),
    ];
  });
}

/** All rows of control; `measured` holds the rows of the parts that ran before. */
export function controlRows(measured: readonly SlopeRow[]): readonly SlopeRow[] {
  const figure = figuresOf(measured);
  return SIZES.flatMap((size) => {
    const each = ordinaryLines(size, figure, false);
    const scheduler = schedulerLines(size, figure, false);
    const relay = relayLines(size, figure);
    const eachFlooded = totalOf(ordinaryLines(size, figure, true));
    const schedulerFlooded = eachFlooded + totalOf(schedulerLines(size, figure, true));
    const totals = [
      { name: 'each host', bytesPerS: totalOf(each) },
      { name: 'scheduler', bytesPerS: totalOf(each) + totalOf(scheduler) },
      { name: 'relay', bytesPerS: totalOf(each) + totalOf(relay) },
      { name: 'each host, all teams waiting', bytesPerS: eachFlooded },
      { name: 'scheduler, all teams waiting', bytesPerS: schedulerFlooded },
    ];
    return [
      ...summaryRows(size),
      ...rowsOf(size, 'each host', each),
      ...rowsOf(size, 'scheduler, in addition', scheduler),
      ...rowsOf(size, 'relay, in addition', relay),
      ...rowsOf(size, 'sum', totals),
    ];
  });
}
