import {FastifyInstance} from 'fastify';
import {Guard} from './guard.js';
import {KeyedStore} from './keyed_store.js';
import {RoutingSource} from './routing_follower.js';

/** Builds the ports that the platform requires; implemented by the platform adapter. */
export interface PlatformPortBuilders {
  buildAnnouncementPort(guard: Guard): FastifyInstance;
  buildReadinessPort(isReady: () => boolean): FastifyInstance;
}

/** Dependencies of a sidecar node. */
export interface SidecarDependencies {
  readonly store: KeyedStore;
  readonly routingSource: RoutingSource;
  readonly nodesTopic: string;
  readonly portBuilders: PlatformPortBuilders;
  readonly metricsPort: number;
}
