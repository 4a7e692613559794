/** Decoding of worker entries, configurations and job submissions. */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { decodeJob } from '../../platform/jobs';
import { decodeConfiguration, decodeWorker } from '../../platform/records';

const WORKER = {
  backend: 'huvo11a',
  address: '10.128.0.9:8080',
  zone: 'bole',
  state: 'ready',
  capacity: { cpu: 16_000, memMb: 32_768, gpu: 0 },
  labels: ['a', 'r1-3'],
  born: 12,
};

function worker(changes: object): ReturnType<typeof decodeWorker> {
  return decodeWorker('servers/i-1', JSON.stringify({ ...WORKER, ...changes }));
}

describe('worker entries', () => {
  it('are decoded into the fields of WorkerEntry', () => {
    const entry = worker({});
    expect(entry?.id).toEqual('i-1');
    expect(entry?.service).toEqual('huvo11a');
    expect(entry?.cpuMillis).toEqual(16_000);
    expect(entry?.draining).toEqual(false);
    expect(worker({ state: 'draining' })?.draining).toEqual(true);
  });

  it('tell the process that wrote them', () => {
    expect(worker({})?.processStartMs).toEqual(12);
  });

  // Guards against tasks on a worker by an entry that can't be matched with the process that answers.
  it('are ignored if they name no process', () => {
    const wrong = [undefined, null, '12', true, [12], 12.5, 0, -12, 2 ** 60];
    wrong.forEach((born) => expect(worker({ born })).toEqual(null));
  });

  it('are ignored if they are invalid', () => {
    const wrong = [
      { backend: 7 },
      { address: null },
      { zone: undefined },
      { state: 'sleeping' },
      { capacity: 'much' },
      { capacity: { cpu: 'x', memMb: 1 } },
      { labels: [1] },
    ];
    wrong.forEach((changes) => expect(worker(changes)).toEqual(null));
    ['', '[]', 'null', '{', '\u0000'].forEach((text) =>
      expect(decodeWorker('servers/i-1', text)).toEqual(null),
    );
  });

  // Guards against an entry of another writer whose figures spoil the sums over all workers, or
  // whose address or id can't be put into a request.
  it('are ignored if their figures, address or id are out of range', () => {
    const wrong = [
      { capacity: { cpu: -5, memMb: 1 } },
      { capacity: { cpu: 1e308, memMb: 1 } },
      { capacity: { cpu: 1000, memMb: 1e308 } },
      { capacity: { cpu: 1000, memMb: 1, gpu: -1 } },
      { address: '10.128.0.9:99999' },
      { address: '10.128.0.9:-1' },
      { address: 'worker.example:8080' },
      { address: '10.128.0.9:8080\r\nx: y' },
    ];
    wrong.forEach((changes) => expect(worker(changes)).toEqual(null));
    expect(decodeWorker('servers/i\r\nx: y', JSON.stringify(WORKER))).toEqual(null);
    const tooLarge = JSON.stringify(WORKER).replace('16000', '1e400');
    expect(decodeWorker('servers/i-1', tooLarge)).toEqual(null);
    expect(worker({ capacity: { cpu: 0, memMb: 0, gpu: 0 } })?.cpuMillis).toEqual(0);
  });

  it('do not end the process that reads them, however deeply they are nested', () => {
    const text = `${JSON.stringify(WORKER).slice(0, -1)},"x":${'['.repeat(1e5)}${']'.repeat(1e5)}}`;
    const entry = decodeWorker('servers/i-1', text);
    expect(entry === null || entry.id === 'i-1').toEqual(true);
    expect(decodeWorker('servers/i-1', '['.repeat(1e5))).toEqual(null);
  });
});

describe('configurations', () => {
  it('keep the queues that can be decoded', () => {
    const route = { name: 'r', host: 'a', prefix: '/p/', backend: 's', priority: 1 };
    const text = JSON.stringify({ version: 3, routes: [route, { name: 'x' }], backends: [] });
    const configuration = decodeConfiguration(text);
    expect(configuration?.bindings.map(({ policy }) => policy.name)).toEqual(['r']);
    expect(decodeConfiguration('{}')).toEqual(null);
  });

  // Guards against starts beyond the capacity of workers that refuse none.
  it('name the services whose workers do not guard their room, also if the field is left out', () => {
    const backends = [
      { name: 'a', preconditions: true },
      { name: 'b', preconditions: false },
    ];
    const text = JSON.stringify({ version: 1, routes: [], backends: [...backends, { name: 'c' }] });
    const configuration = decodeConfiguration(text);
    expect(configuration?.services).toEqual(['a', 'b', 'c']);
    expect(configuration?.unguardedServices).toEqual(['b', 'c']);
  });

  it('state which unsupported feature a queue requires', () => {
    const recommendation = { decideMs: 1, periodMs: 1, validityMs: 1 };
    const route = { name: 'r', host: 'a', prefix: '/p/', backend: 's', recommendation };
    const configuration = decodeConfiguration(JSON.stringify({ version: 1, routes: [route] }));
    expect(configuration?.bindings[0]?.unsupported).not.toEqual(null);
  });
});

describe('job submissions', () => {
  const step = { count: 2, cpu: 500, memMb: 256, estimateMs: 900 };
  const kindOf = (body: object) => {
    const job = decodeJob('0'.repeat(16), JSON.stringify(body));
    return job.ok ? 'job' : job.val.kind;
  };

  it('are decoded with their steps', () => {
    expect(kindOf({ spec: 'x', bestEffort: true, steps: [step, { ...step, after: [0] }] })).toEqual(
      'job',
    );
  });

  it('that require an unsupported feature are reported as unsupported', () => {
    const asks = [
      { bestEffort: false, steps: [step] },
      { bestEffort: true, repetitions: 3, steps: [step] },
      { bestEffort: true, longRunning: true, steps: [step] },
      ...['gang', 'sameRack', 'longRunning', 'targetMs', 'fills', 'maxUnavailable'].map(
        (member) => ({
          bestEffort: true,
          steps: [{ ...step, [member]: 1 }],
        }),
      ),
    ];
    asks.forEach((body) => expect(kindOf(body)).toEqual('unsupported'));
  });

  it('that are malformed are reported as malformed', () => {
    const wrong = [
      {},
      { bestEffort: true, steps: [] },
      { bestEffort: true, steps: [7] },
      { bestEffort: true, steps: [{ ...step, count: 0 }] },
      { bestEffort: true, steps: [{ ...step, cpu: -1 }] },
      { bestEffort: true, steps: [{ ...step, after: [0] }] },
      { bestEffort: true, spec: 'x'.repeat(4001), steps: [step] },
    ];
    wrong.forEach((body) => expect(kindOf(body)).toEqual('malformed'));
  });
});
