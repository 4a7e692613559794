/** The command `load`: runs the load generator against running hosts and prints its report. */
import { LoadGenerator } from '../bench/load';
import type { LoadFigures, LoadReport } from '../bench/loadTypes';
import type { LoadOptions } from './context';
import { formatTable, printJson, type Terminal } from './terminal';

const SEED = 1;

function rounded(value: number): number {
  return Math.round(value * 1000) / 1000;
}

/** One line of a table of figures. */
export function figuresRow(name: string, figures: LoadFigures): object {
  const { jobs, outcomes, ratio, responseMs } = figures;
  return {
    kind: name,
    jobs,
    complete: outcomes.complete,
    refused: outcomes.refused,
    failed: outcomes.failed,
    unknown: outcomes.unknown,
    wrong: outcomes.wrong,
    ratioP50: rounded(ratio.p50),
    ratioP99: rounded(ratio.p99),
    responseP99Ms: rounded(responseMs.p99),
  };
}

/** Figures by kind and in total, as aligned lines. */
export function reportLines(report: LoadReport): readonly string[] {
  const kinds = Object.entries(report.kinds).map(([name, figures]) => figuresRow(name, figures));
  return formatTable([...kinds, figuresRow('total', report.total)]);
}

/** Submits jobs of one kind at a steady rate. */
export async function runLoad(options: LoadOptions, terminal: Terminal): Promise<void> {
  const { team, kind, deadlineMs, tasks, taskMs } = options;
  const generator = new LoadGenerator({
    hosts: options.hosts,
    kinds: [
      {
        team,
        kind,
        weight: 1,
        keyed: true,
        deadlineMs,
        tasks: { low: tasks, high: tasks },
        runMs: { low: taskMs, high: taskMs },
      },
    ],
    jobsPerS: options.jobsPerSecond,
    durationMs: options.seconds * 1000,
    seed: SEED,
    onProgress: ({ elapsedMs, openJobs, ratio }) => {
      const seconds = Math.round(elapsedMs / 1000);
      terminal.progress(
        `${seconds} s: ${openJobs} jobs open, response over ideal ${rounded(ratio.p50)} (median), ${rounded(ratio.p99)} (99th percentile)`,
      );
    },
  });
  try {
    const report = await generator.run();
    if (options.json) printJson(terminal, report);
    else reportLines(report).forEach((line) => terminal.out(line));
  } finally {
    await generator.close();
  }
}
