import {Readable} from 'node:stream';
import {
  asId,
  BackendServerId,
  DataCentreId,
  NodeId,
  RegionId,
  ServiceId,
} from '../../src/base/index.js';
import {presets, Service} from '../../src/config/index.js';
import {FailureReason, GuardResult} from '../../src/guard/index.js';
import {RefusalReason} from '../../src/guard/index.js';
import {ServerWithVerdict, ExclusionVerdict} from '../../src/health/index.js';

/** A service with the defaults of the configuration. */
export function makeService(fields: Partial<Service> = {}): Service {
  return {
    id: asId<ServiceId>('bench-log'),
    floor: 1,
    rule: presets.prompt,
    timeoutMs: 5000,
    stallMs: 2000,
    queuePerServer: 16,
    ...fields,
  };
}

/** A ready backend server on a node of its own. */
export function makeServer(
  id: string,
  verdict: ExclusionVerdict = {kind: 'usable', weight: 1},
  dataAddress = '127.0.0.1:1',
): ServerWithVerdict {
  const server = asId<BackendServerId>(id);
  const service = asId<ServiceId>('bench-log');
  const report = {
    server,
    service,
    pool: 'p',
    incarnation: 1,
    slots: 3,
    phase: 'ready' as const,
    health: {kind: 'healthy' as const},
    typicalMs: 20,
  };
  const record = {
    node: asId<NodeId>(`node-${id}`),
    incarnation: 1,
    version: 1,
    dataCentre: asId<DataCentreId>('tamworth'),
    region: asId<RegionId>('midlands'),
    peerAddress: '127.0.0.1:2',
    dataAddress,
    adminAddress: '127.0.0.1:3',
    state: 'serving' as const,
    configVersion: 1,
    servers: [report],
    suspicions: [],
  };
  return {known: {report, record}, verdict};
}

/** Backend servers s0, s1 and so on. */
export function makeServers(count: number): readonly ServerWithVerdict[] {
  return Array.from({length: count}, (_, i) => makeServer(`s${i}`));
}

export function makeRefusal(reason: RefusalReason): GuardResult {
  return {kind: 'refused', reason};
}

export function makeFailure(reason: FailureReason): GuardResult {
  return {kind: 'failed', reason};
}

export function makeResponse(): GuardResult {
  return {
    kind: 'answer',
    status: 200,
    headers: {},
    body: Readable.from(['ok']),
  };
}
