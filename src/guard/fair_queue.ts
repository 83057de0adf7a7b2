import {PartnerId} from '../base/index.js';

/** A queued item, linked into the list of its partner's flow. */
export interface QueueEntry<T> {
  readonly item: T;
  readonly flow: PartnerFlow<T>;
  previous?: QueueEntry<T>;
  next?: QueueEntry<T>;
  isQueued: boolean;
}

/** Queued entries of one partner, in order of arrival. */
interface PartnerFlow<T> {
  weight: number;
  /** Virtual time at which the first entry of this flow is to be served. */
  startTag: number;
  length: number;
  first?: QueueEntry<T>;
  last?: QueueEntry<T>;
}

// A weight of zero would never be served.
const minWeight = 0.01;

/**
 * Start-time fair queue: partners are served in proportion to their weights. No operation takes time that grows with
 * the number of entries; at most it is linear in the number of partners.
 */
export class FairQueue<T> {
  private readonly flows = new Map<PartnerId, PartnerFlow<T>>();
  private virtualTime = 0;
  private length = 0;

  get size(): number {
    return this.length;
  }

  countQueued(partner: PartnerId): number {
    return this.flows.get(partner)?.length ?? 0;
  }

  add(partner: PartnerId, weight: number, item: T): QueueEntry<T> {
    const flow = this.prepareFlow(partner, weight);
    const entry: QueueEntry<T> = {item, flow, isQueued: true};
    entry.previous = flow.last;
    if (flow.last) flow.last.next = entry;
    else flow.first = entry;
    flow.last = entry;
    flow.length += 1;
    this.length += 1;
    return entry;
  }

  /** Removes an entry; false if it was removed before. */
  remove(entry: QueueEntry<T>): boolean {
    if (!entry.isQueued) return false;
    const {flow, previous, next} = entry;
    entry.isQueued = false;
    if (previous) previous.next = next;
    else flow.first = next;
    if (next) next.previous = previous;
    else flow.last = previous;
    flow.length -= 1;
    this.length -= 1;
    return true;
  }

  /** Removes and returns the item with the smallest start tag. */
  removeNext(): T | undefined {
    let earliest: PartnerFlow<T> | undefined;
    for (const flow of this.flows.values()) {
      if (flow.first && (!earliest || flow.startTag < earliest.startTag))
        earliest = flow;
    }
    if (!earliest?.first) return undefined;
    const entry = earliest.first;
    this.virtualTime = earliest.startTag;
    earliest.startTag += 1 / earliest.weight;
    this.remove(entry);
    return entry.item;
  }

  /** Removes the entry that would be served last, if a new entry of the partner would be served before it. */
  removeLaterThan(partner: PartnerId, weight: number): T | undefined {
    const startTag = this.computeStartTag(partner, weight);
    let latest: PartnerFlow<T> | undefined;
    for (const flow of this.flows.values()) {
      if (
        flow.last &&
        (!latest || getLastStartTag(flow) > getLastStartTag(latest))
      ) {
        latest = flow;
      }
    }
    if (!latest?.last || startTag >= getLastStartTag(latest)) return undefined;
    const entry = latest.last;
    this.remove(entry);
    return entry.item;
  }

  /** Number of entries that would be served before a new entry of the partner. */
  countAhead(partner: PartnerId, weight: number): number {
    const startTag = this.computeStartTag(partner, weight);
    const own = this.flows.get(partner);
    let ahead = 0;
    for (const flow of this.flows.values()) {
      if (flow === own) ahead += flow.length;
      else if (startTag >= flow.startTag) {
        const before = Math.floor((startTag - flow.startTag) * flow.weight) + 1;
        ahead += Math.min(flow.length, before);
      }
    }
    return ahead;
  }

  /** Discards the flows and their start tags if the queue is empty. */
  reset(): void {
    if (this.flows.size === 0 || this.length > 0) return;
    this.flows.clear();
    this.virtualTime = 0;
  }

  private prepareFlow(partner: PartnerId, weight: number): PartnerFlow<T> {
    const known = this.flows.get(partner);
    if (known) {
      if (known.length === 0)
        known.startTag = Math.max(known.startTag, this.virtualTime);
      known.weight = Math.max(minWeight, weight);
      return known;
    }
    const flow: PartnerFlow<T> = {
      weight: Math.max(minWeight, weight),
      startTag: this.virtualTime,
      length: 0,
    };
    this.flows.set(partner, flow);
    return flow;
  }

  private computeStartTag(partner: PartnerId, weight: number): number {
    const flow = this.flows.get(partner);
    if (!flow) return this.virtualTime;
    const clamped = Math.max(minWeight, weight);
    return Math.max(flow.startTag, this.virtualTime) + flow.length / clamped;
  }
}

function getLastStartTag<T>(flow: PartnerFlow<T>): number {
  return flow.startTag + (flow.length - 1) / flow.weight;
}
