/**
 * Receives the messages of the other entry hosts and routes each to the service that handles it.
 */
import type { JobAnswer, JobSpec } from '../core';
import type {
  ConfigurationMessage,
  MembershipMessage,
  PeerMessage,
  SlotMessage,
} from '../core/messages';
import { ServiceName, type Service } from '../kernel';
import type { PeerHandler, PeerOrigin, PeerTransport } from '../peers/transport';

const CLOSE_GRACE_MS = 2000;

/** Handlers of peer messages and calls, one for each kind. */
export interface PeerReceivers {
  slots(from: PeerOrigin, messages: readonly SlotMessage[]): void;
  membership(from: PeerOrigin, message: MembershipMessage): void;
  configuration(from: PeerOrigin, message: ConfigurationMessage): void;
  forward(key: string, job: JobSpec): Promise<JobAnswer>;
  forwardCancel(key: string): Promise<JobAnswer>;
  forwardAwait(key: string): Promise<JobAnswer>;
  status(): unknown;
}

function isMembership(message: PeerMessage): message is MembershipMessage {
  return message.type === 'ping' || message.type === 'ack' || message.type === 'pingRequest';
}

function isConfiguration(message: PeerMessage): message is ConfigurationMessage {
  return message.type === 'configurationPull' || message.type === 'configurationPush';
}

function isSlot(message: PeerMessage): message is SlotMessage {
  return !isMembership(message) && !isConfiguration(message);
}

/** Runs the peer transport as a service of the kernel. */
export class PeerService implements Service, PeerHandler {
  readonly name = ServiceName.peers;

  readonly #transport: PeerTransport;

  readonly #receivers: PeerReceivers;

  constructor(transport: PeerTransport, receivers: PeerReceivers) {
    this.#transport = transport;
    this.#receivers = receivers;
  }

  async open(): Promise<void> {
    await this.#transport.listen(this);
  }

  close(): Promise<void> {
    return this.#transport.close(CLOSE_GRACE_MS);
  }

  onMessages(from: PeerOrigin, messages: readonly PeerMessage[]): void {
    messages.filter(isMembership).forEach((message) => this.#receivers.membership(from, message));
    messages
      .filter(isConfiguration)
      .forEach((message) => this.#receivers.configuration(from, message));
    const slots = messages.filter(isSlot);
    if (slots.length > 0) this.#receivers.slots(from, slots);
  }

  onForward(key: string, job: JobSpec): Promise<JobAnswer> {
    return this.#receivers.forward(key, job);
  }

  onForwardCancel(key: string): Promise<JobAnswer> {
    return this.#receivers.forwardCancel(key);
  }

  onForwardAwait(key: string): Promise<JobAnswer> {
    return this.#receivers.forwardAwait(key);
  }

  onStatus(): unknown {
    return this.#receivers.status();
  }
}
