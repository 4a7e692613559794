/**
 * Plays a load shape on several seeds and prints a table: `npm run model -- SHAPE... [--seeds N]`.
 * It decides nothing alone: it serves to try a policy before the users' bench is played.
 */
import { Command } from 'commander';
import { CellModel, earnedShare, type KindTally, type ModelResult } from './cellModel';
import { readLoadShape } from './loadShape';

const PARTS = ['inTime', 'late', 'refused', 'other'] as const;

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
}

function deviation(values: readonly number[]): number {
  const centre = mean(values);
  return Math.sqrt(mean(values.map((value) => (value - centre) ** 2)));
}

function shares(results: readonly ModelResult[], kind: string, part: keyof KindTally): number[] {
  return results.map((result) => {
    const tally = result.get(kind);
    return tally && tally.jobs > 0 ? tally[part] / tally.jobs : 0;
  });
}

async function play(file: string, seeds: number, asJson: boolean): Promise<void> {
  const shape = await readLoadShape(file);
  const results = Array.from({ length: seeds }, (_, seed) => new CellModel(shape, seed + 1).run());
  const earned = results.map((result) => earnedShare(shape, result));
  const kinds = shape.kinds.map(({ name }) => ({
    name,
    shares: Object.fromEntries(PARTS.map((part) => [part, mean(shares(results, name, part))])),
  }));
  if (asJson) {
    const summary = { file, seeds, earned: mean(earned), deviation: deviation(earned), kinds };
    process.stdout.write(`${JSON.stringify(summary)}\n`);
    return;
  }
  const spread = `${mean(earned).toFixed(3)} +- ${deviation(earned).toFixed(3)}`;
  process.stdout.write(`${file}, ${seeds} seeds: earned ${spread}\n`);
  kinds.forEach(({ name, shares: parts }) => {
    const figures = PARTS.map((part) => `${part} ${(parts[part] ?? 0).toFixed(3)}`);
    process.stdout.write(`  ${name.padEnd(8)} ${figures.join('  ')}\n`);
  });
}

new Command('model')
  .argument('<shape...>', 'INI files of load shapes')
  .option('--seeds <n>', 'number of seeds, from 1 on', Number, 20)
  .option('--json', 'one JSON line a shape')
  .action(async (files: string[], { seeds, json }: { seeds: number; json?: boolean }) => {
    await files.reduce(
      (previous, file) => previous.then(() => play(file, seeds, json === true)),
      Promise.resolve(),
    );
  })
  .parseAsync();
