/** Collects the actions of one event in order. Messages to the same host are sent as one batch. */
import type { Decision } from '../observe/observer';
import type { CoreAction } from './events';
import type { SlotMessage } from './messages';

/** Actions and messages produced while an event is handled. */
export class Outbox {
  readonly #selfId: string;

  #actions: CoreAction[] = [];

  #batches = new Map<string, SlotMessage[]>();

  constructor(selfId: string) {
    this.#selfId = selfId;
  }

  push(action: CoreAction): void {
    this.#actions.push(action);
  }

  send(to: string, message: SlotMessage): void {
    const batch = this.#batches.get(to);
    if (batch) batch.push(message);
    else this.#batches.set(to, [message]);
  }

  decide(decision: string, reason: string, fields: Decision['fields']): void {
    this.#actions.push({ type: 'decision', decision: { decision, reason, fields } });
  }

  count(name: string, value = 1, tags?: Readonly<Record<string, string>>): void {
    this.#actions.push(
      tags ? { type: 'count', name, value, tags } : { type: 'count', name, value },
    );
  }

  /** Removes and returns the messages from this host to itself, which need no transport. */
  takeLocal(): readonly SlotMessage[] {
    const local = this.#batches.get(this.#selfId);
    if (!local) return [];
    this.#batches.delete(this.#selfId);
    return local;
  }

  /** Removes and returns all actions, with the messages as `send` actions at the end. */
  takeAll(): readonly CoreAction[] {
    const actions = this.#actions;
    this.#batches.forEach((messages, to) => actions.push({ type: 'send', to, messages }));
    this.#actions = [];
    this.#batches = new Map();
    return actions;
  }
}
