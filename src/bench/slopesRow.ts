/** Rows of the slope measurement, their table and the statistics of repeated runs. */

/** One figure: the median of several runs with the lowest and the highest. */
export interface SlopeRow {
  readonly group: string;
  readonly name: string;
  readonly unit: string;
  readonly median: number;
  readonly low: number;
  readonly high: number;
  readonly runs: number;
}

const SIGNIFICANT_DIGITS = 3;

/** A row from the results of several runs; at least one is needed. */
export function rowOf(
  group: string,
  name: string,
  unit: string,
  values: readonly number[],
): SlopeRow {
  const sorted = values.toSorted((a, b) => a - b);
  const middle = Math.floor((sorted.length - 1) / 2);
  const upper = Math.ceil((sorted.length - 1) / 2);
  const median = ((sorted[middle] ?? NaN) + (sorted[upper] ?? NaN)) / 2;
  const low = sorted[0] ?? NaN;
  return { group, name, unit, median, low, high: sorted.at(-1) ?? NaN, runs: values.length };
}

/** Three significant digits without an exponent. */
export function formatNumber(value: number): string {
  if (!Number.isFinite(value)) return 'none';
  const whole = Math.round(Math.abs(value)).toString().length;
  return Math.abs(value) >= 100
    ? Number(value.toPrecision(Math.max(SIGNIFICANT_DIGITS, whole - 2))).toLocaleString('en-US')
    : String(Number(value.toPrecision(SIGNIFICANT_DIGITS)));
}

/** The rows as a Markdown table. */
export function tableOf(rows: readonly SlopeRow[]): string {
  const lines = rows.map(({ group, name, unit, median, low, high, runs }) => {
    const spread = runs > 1 ? `${formatNumber(low)} to ${formatNumber(high)}` : 'one run';
    return `| ${group} | ${name} | ${formatNumber(median)} | ${spread} | ${unit} |`;
  });
  const heading = ['| group | measured | median | lowest to highest | unit |'];
  return [...heading, '| --- | --- | --- | --- | --- |', ...lines, ''].join('\n');
}
