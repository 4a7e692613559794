/** Plays seeds of the soak by hand: `npx tsx test/soak/main.ts --from 1 --count 50`. */
import { Command, Option } from 'commander';
import { soak } from './soak';
import { SHAPES, type SoakShape } from './soakShape';

interface Options {
  readonly from: string;
  readonly count: string;
  readonly faults: string;
  readonly seconds: string;
  readonly atOnce: string;
  readonly shape: string;
  readonly program: string;
  readonly kinds?: readonly string[];
}

function shapeOf(options: Options): SoakShape | null {
  const shape = SHAPES[options.shape];
  if (!shape) return null;
  return { ...shape, kinds: shape.kinds.filter((kind) => options.kinds?.includes(kind) ?? true) };
}

async function main(): Promise<void> {
  const command = new Command('soak')
    .description('Plays seeds of the fault soak against the bundle of the dispatcher')
    .option('--from <seed>', 'first seed', '1')
    .option('--count <seeds>', 'number of seeds', '1')
    .addOption(new Option('--shape <name>', 'size').choices(Object.keys(SHAPES)).default('small'))
    .option('--kinds <kinds...>', 'play only these kinds of faults')
    .option('--program <file>', 'bundle of the dispatcher', 'target/dispatcher.cjs')
    .option('--faults <count>', 'faults of a seed', '10')
    .option('--seconds <seconds>', 'time in which faults begin', '12')
    .option('--at-once <seeds>', 'seeds played at the same time', '2')
    .parse();
  const options = command.opts<Options>();
  const first = Number(options.from);
  const shape = shapeOf(options);
  const left = Array.from({ length: Number(options.count) }, (_, index) => first + index);
  const playNext = async (): Promise<void> => {
    const seed = left.shift();
    if (seed === undefined) return;
    const report = await soak({
      seed,
      ...(shape ? { shape } : {}),
      faults: Number(options.faults),
      faultSeconds: Number(options.seconds),
      program: [options.program],
    });
    const { broken, asked, completed, folder, faults } = report;
    const verdict = broken.length === 0 ? 'kept' : 'BROKEN';
    process.stdout.write(`seed ${seed}: ${verdict}, ${completed} of ${asked} jobs completed\n`);
    if (broken.length > 0) {
      process.exitCode = 1;
      const lines = [
        ...broken,
        ...faults.map(({ kind, atMs, forMs, point }) =>
          JSON.stringify({ kind, atMs, forMs, point }),
        ),
      ];
      process.stdout.write(`${lines.map((line) => `  ${line}`).join('\n')}\n  logs: ${folder}\n`);
    }
    await playNext();
  };
  await Promise.all(Array.from({ length: Number(options.atOnce) }, playNext));
}

main().catch((error: unknown) => {
  process.stderr.write(`${error instanceof Error ? error.stack : String(error)}\n`);
  process.exitCode = 1;
});
