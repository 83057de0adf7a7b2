import {Random, RouteId, ServiceId} from '../base/index.js';

interface WeightedService {
  readonly service: ServiceId;
  readonly weight: number;
}

interface RoundRobinState {
  /** Identifies the services and weights; if they change, the credits start anew. */
  readonly key: string;
  readonly credits: Map<ServiceId, number>;
}

/**
 * Distributes the requests of a route over its services by smooth weighted round robin. Each node starts at a random
 * position, so that the first requests of many nodes do not all go to the service with the largest weight.
 */
export class WeightedRoundRobin {
  private readonly byRoute = new Map<RouteId, RoundRobinState>();

  constructor(private readonly random: Random) {}

  /** Chooses the service of the next request; `shares` must contain at least one service. */
  choose(route: RouteId, shares: readonly WeightedService[]): ServiceId {
    if (shares.length === 1) return shares[0].service;
    const key = shares.map(s => `${s.service}=${s.weight}`).join();
    let state = this.byRoute.get(route);
    if (state?.key !== key) {
      state = this.createState(key, shares);
      this.byRoute.set(route, state);
    }
    const total = shares.reduce((sum, {weight}) => sum + weight, 0);
    let best = shares[0].service;
    for (const {service, weight} of shares) {
      const credit = (state.credits.get(service) ?? 0) + weight;
      state.credits.set(service, credit);
      if (credit > (state.credits.get(best) ?? 0)) best = service;
    }
    state.credits.set(best, (state.credits.get(best) ?? 0) - total);
    return best;
  }

  private createState(
    key: string,
    shares: readonly WeightedService[],
  ): RoundRobinState {
    const total = shares.reduce((sum, {weight}) => sum + weight, 0);
    const credits = new Map<ServiceId, number>();
    let offset = this.random() * total;
    let isSearching = true;
    for (const {service, weight} of shares) {
      // The service at the random position is next; credits sum to zero.
      const isNext = isSearching && offset < weight;
      if (isSearching) offset -= weight;
      if (isNext) isSearching = false;
      credits.set(service, (isNext ? total : 0) - weight);
    }
    return {key, credits};
  }
}
