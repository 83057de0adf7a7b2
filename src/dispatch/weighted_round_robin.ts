import {Random, RouteId, ServiceId} from '../base/index.js';

interface WeightedService {
  readonly service: ServiceId;
  readonly weight: number;
}

interface SplitState {
  readonly key: string;
  readonly credits: Map<ServiceId, number>;
}

/**
 * Deals the requests of a route to its services by smooth weighted round robin. Each node begins at a random point, so
 * that the first requests of many nodes do not all go to the heaviest service.
 */
export class WeightedRoundRobin {
  private readonly byRoute = new Map<RouteId, SplitState>();

  constructor(private readonly random: Random) {}

  /** `shares` must hold at least one service. */
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
  ): SplitState {
    const total = shares.reduce((sum, {weight}) => sum + weight, 0);
    const credits = new Map<ServiceId, number>();
    let point = this.random() * total;
    let isBehind = true;
    for (const {service, weight} of shares) {
      // The service at the random point is next; credits sum to zero.
      const isNext = isBehind && point < weight;
      if (isBehind) point -= weight;
      if (isNext) isBehind = false;
      credits.set(service, (isNext ? total : 0) - weight);
    }
    return {key, credits};
  }
}
