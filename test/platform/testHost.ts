/** A dispatcher host in the test process, on loopback. */
import { request, type Dispatcher } from 'undici';
import { DispatchHost } from '../../src/dispatcher/dispatchHost';
import { DispatchMetrics } from '../../src/dispatcher/metrics';
import type { DispatchJournal } from '../../src/dispatcher/journal';
import type { LogFields } from '../../src/observe/observer';
import { PlatformConfigurationSource } from '../../platform/configurations';
import { Ingress } from '../../platform/ingress';
import { PlatformStore } from '../../platform/store';
import { PlatformWorkerList } from '../../platform/workerList';
import { PlatformWorkerClient } from '../../platform/workers';
import { jobRequest } from './jobRequest';

const DEADLINE_MS = 4000;

/** A line of a host's decision log. */
export interface LogLine {
  readonly decision: string;
  readonly fields: LogFields;
}

/** A host with its addresses and the log lines that it has written. */
export class TestHost {
  readonly host: DispatchHost;

  readonly callersAddress: string;

  readonly readinessAddress: string;

  readonly metricsAddress: string;

  readonly peersAddress: string;

  readonly lines: LogLine[] = [];

  readonly #ingress: Ingress;

  constructor(
    hostId: string,
    domain: string,
    domains: readonly string[],
    storeAddress: string,
    ports: number[],
  ) {
    const address = () => `127.0.0.1:${ports.shift()}`;
    this.callersAddress = address();
    this.readinessAddress = address();
    this.metricsAddress = address();
    const journal: DispatchJournal = {
      logDecision: (decision, fields) => this.lines.push({ decision, fields }),
    };
    this.peersAddress = address();
    const store = new PlatformStore(storeAddress);
    this.host = new DispatchHost({
      settings: {
        hostId,
        domain,
        cores: 1,
        domains,
        callersAddress: this.callersAddress,
        readinessAddress: this.readinessAddress,
        peersAddress: this.peersAddress,
        announcedAddress: this.peersAddress,
        metricsAddress: this.metricsAddress,
        seeds: [],
        storeAddress,
        leaseMs: 1000,
        capacityNoticeMs: 3000,
        drainMs: 6000,
        resubmissionMs: 1300,
        jobStateMs: 120_000,
        overloadPolicy: 'equal-shares',
        linesPerSecond: 400,
      },
      platform: {
        store,
        configurations: new PlatformConfigurationSource(store, journal),
        workers: new PlatformWorkerList(store, journal),
        workerClient: new PlatformWorkerClient(journal),
      },
      journal,
      metrics: new DispatchMetrics(),
      clock: { nowMs: () => performance.now(), timeOfDayMs: () => Date.now() },
      droppedLines: () => 0,
    });
    this.#ingress = new Ingress(this.host.dispatcher);
  }

  async open(): Promise<void> {
    await this.host.open();
    await this.#ingress.open(this.callersAddress, this.readinessAddress);
  }

  async close(): Promise<void> {
    this.#ingress.close();
    await this.host.close();
  }

  /** Submits a job. `payload` is the run time of its tasks in milliseconds, or `fail`. */
  async submit(
    id: string,
    payload: string,
    tasks = 2,
    extra: object = {},
  ): Promise<Dispatcher.ResponseData> {
    const { path, ...options } = jobRequest({ id, payload, tasks, deadlineMs: DEADLINE_MS, extra });
    // A kept connection would outlive this host, and reach it in place of the next one at its address.
    return request(`http://${this.callersAddress}${path}`, { ...options, reset: true });
  }
}
