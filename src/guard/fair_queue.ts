import {PartnerId} from '../base/index.js';

/** A request's place in the queue. */
export interface QueueEntry<T> {
  readonly item: T;
  readonly flow: PartnerFlow<T>;
  previous?: QueueEntry<T>;
  next?: QueueEntry<T>;
  isQueued: boolean;
}

/** Places of one partner, in order of arrival. */
interface PartnerFlow<T> {
  weight: number;
  /** Virtual time at which the first place of this lane is due. */
  startTag: number;
  length: number;
  first?: QueueEntry<T>;
  last?: QueueEntry<T>;
}

// A weight of zero would never be served.
const minWeight = 0.01;

/**
 * A queue served by start-time fair queuing: partners take turns in proportion to their weights. Adding, removing
 * and serving cost a step per partner that waits, whatever the number of places.
 */
export class FairQueue<T> {
  private readonly lanes = new Map<PartnerId, PartnerFlow<T>>();
  private virtualTime = 0;
  private length = 0;

  get size(): number {
    return this.length;
  }

  countOf(partner: PartnerId): number {
    return this.lanes.get(partner)?.length ?? 0;
  }

  add(partner: PartnerId, weight: number, item: T): QueueEntry<T> {
    const lane = this.prepareLane(partner, weight);
    const place: QueueEntry<T> = {item, flow: lane, isQueued: true};
    place.previous = lane.last;
    if (lane.last) lane.last.next = place;
    else lane.first = place;
    lane.last = place;
    lane.length += 1;
    this.length += 1;
    return place;
  }

  /** Takes a place out; false if it was out already. */
  remove(place: QueueEntry<T>): boolean {
    if (!place.isQueued) return false;
    const {flow: lane, previous, next} = place;
    place.isQueued = false;
    if (previous) previous.next = next;
    else lane.first = next;
    if (next) next.previous = previous;
    else lane.last = previous;
    lane.length -= 1;
    this.length -= 1;
    return true;
  }

  /** Takes out the item whose turn it is. */
  removeNext(): T | undefined {
    let best: PartnerFlow<T> | undefined;
    for (const lane of this.lanes.values()) {
      if (lane.first && (!best || lane.startTag < best.startTag)) best = lane;
    }
    if (!best?.first) return undefined;
    const place = best.first;
    this.virtualTime = best.startTag;
    best.startTag += 1 / best.weight;
    this.remove(place);
    return place.item;
  }

  /** Takes out the place that would be served last, if a new one of the partner would be served before it. */
  removeLaterThan(partner: PartnerId, weight: number): T | undefined {
    const due = this.computeDue(partner, weight);
    let worst: PartnerFlow<T> | undefined;
    for (const lane of this.lanes.values()) {
      if (lane.last && (!worst || getLastDue(lane) > getLastDue(worst))) {
        worst = lane;
      }
    }
    if (!worst?.last || due >= getLastDue(worst)) return undefined;
    const place = worst.last;
    this.remove(place);
    return place.item;
  }

  /** Number of places that would be served before a new one of the partner. */
  countAhead(partner: PartnerId, weight: number): number {
    const due = this.computeDue(partner, weight);
    const own = this.lanes.get(partner);
    let ahead = 0;
    for (const lane of this.lanes.values()) {
      if (lane === own) ahead += lane.length;
      else if (due >= lane.startTag) {
        const before = Math.floor((due - lane.startTag) * lane.weight) + 1;
        ahead += Math.min(lane.length, before);
      }
    }
    return ahead;
  }

  /** Forgets past turns; only valid while no place is taken. */
  reset(): void {
    if (this.lanes.size === 0 || this.length > 0) return;
    this.lanes.clear();
    this.virtualTime = 0;
  }

  private prepareLane(partner: PartnerId, weight: number): PartnerFlow<T> {
    const known = this.lanes.get(partner);
    if (known) {
      if (known.length === 0)
        known.startTag = Math.max(known.startTag, this.virtualTime);
      known.weight = Math.max(minWeight, weight);
      return known;
    }
    const lane: PartnerFlow<T> = {
      weight: Math.max(minWeight, weight),
      startTag: this.virtualTime,
      length: 0,
    };
    this.lanes.set(partner, lane);
    return lane;
  }

  private computeDue(partner: PartnerId, weight: number): number {
    const lane = this.lanes.get(partner);
    if (!lane) return this.virtualTime;
    const share = Math.max(minWeight, weight);
    return Math.max(lane.startTag, this.virtualTime) + lane.length / share;
  }
}

function getLastDue<T>(lane: PartnerFlow<T>): number {
  return lane.startTag + (lane.length - 1) / lane.weight;
}
