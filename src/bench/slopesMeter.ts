/**
 * Meters of the slope measurement: CPU time of this process, CPU time of the main thread alone, and
 * heap in use after a garbage collection. CPU time, unlike wall time, does not count the time that
 * other processes of a busy machine take.
 */
import { readFile } from 'node:fs/promises';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

const RUNS = 3;
const NS_PER_US = 1000;

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

/** User and system time of all threads, among them those of the garbage collector. */
export function processCpuUs(): number {
  const { user, system } = process.cpuUsage();
  return user + system;
}

/** Time of the main thread; Linux only. The first number of `schedstat` is in ns. */
export async function mainThreadCpuUs(): Promise<number> {
  const text = await readFile(`/proc/self/task/${process.pid}/schedstat`, 'utf8');
  return Number(text.split(' ')[0]) / NS_PER_US;
}

/** CPU per operation in microseconds, one value per run; a first run that warms up is left out. */
export function cpuPerOperation(
  operations: number,
  run: (operations: number) => void,
  runs = RUNS,
): readonly number[] {
  run(Math.ceil(operations / 2));
  return Array.from({ length: runs }, () => {
    const startUs = processCpuUs();
    run(operations);
    return (processCpuUs() - startUs) / operations;
  });
}

/** Bytes of heap that are reachable now. */
export function heapBytes(): number {
  collectGarbage();
  collectGarbage();
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
}

/** Bytes per item of what `build` returns and its arguments keep alive, one value per run. */
export function bytesPerItem(items: number, build: () => unknown, runs = RUNS): readonly number[] {
  build();
  return Array.from({ length: runs }, () => {
    const before = heapBytes();
    const kept = [build()];
    const after = heapBytes();
    kept.pop();
    return (after - before) / items;
  });
}
