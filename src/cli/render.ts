type Cell = string | number | boolean | null | undefined;
type Row = Readonly<Record<string, Cell>>;

/** Renders rows as aligned columns with the keys of the first row as header. */
export function renderTable(rows: readonly Row[], empty = 'none'): string {
  if (rows.length === 0) return empty;
  const keys = Object.keys(rows[0]);
  const cells = [
    keys.map(key => key.toUpperCase()),
    ...rows.map(row => keys.map(key => String(row[key] ?? '-'))),
  ];
  const widths = keys.map((_key, column) =>
    Math.max(...cells.map(line => line[column].length)),
  );
  return cells
    .map(line =>
      line
        .map((cell, column) => cell.padEnd(widths[column]))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}

interface PlanView {
  readonly plan: string;
  readonly state: string;
  readonly baseVersion?: number;
  readonly version?: number;
  readonly reason?: string;
  readonly conflict?: string | null;
  readonly objects?: readonly string[];
  readonly steps?: readonly {readonly sentence: string}[];
}

/** Renders the steps of a pending plan, or the outcome of a confirmed one. */
export function renderPlan(plan: PlanView): string {
  if (plan.state === 'in-force') {
    return `plan ${plan.plan} is in force as version ${plan.version}`;
  }
  if (plan.state === 'refused') {
    return `plan ${plan.plan} was refused: ${plan.reason}`;
  }
  const steps = (plan.steps ?? []).map(
    (step, index) => `  ${index + 1}. ${step.sentence}`,
  );
  return [
    `plan ${plan.plan}, made on version ${plan.baseVersion}, touches ${plan.objects?.join(', ')}`,
    ...steps,
    plan.conflict
      ? `It can no longer be confirmed: ${plan.conflict}`
      : `Nothing changes until you confirm it: fescuewheel confirm ${plan.plan}`,
  ].join('\n');
}

interface ServerView {
  readonly server: string;
  readonly node: string;
  readonly phase: string;
  readonly verdict: {readonly kind: string; readonly reason?: string};
}

interface ServiceView {
  readonly service: string;
  readonly floor: number;
  readonly expected: number;
  readonly usable: number;
  readonly servers: readonly ServerView[];
}

interface NodeView {
  readonly node: string;
  readonly dataCentre: string;
  readonly state: string;
  readonly configVersion: number;
}

interface StatusView {
  readonly version: number;
  readonly hold: string | null;
  readonly logAgeMs: number | null;
  readonly nodes: readonly NodeView[];
  readonly services: readonly ServiceView[];
}

/** Renders services, and each backend server that gets less than its share, with its verdict and the reason. */
export function renderServices(services: readonly ServiceView[]): string {
  const rows = services.map(service => ({
    service: service.service,
    floor: service.floor,
    expected: service.expected,
    announced: service.servers.length,
    usable: service.usable,
  }));
  const notUsable = services.flatMap(service =>
    service.servers
      .filter(server => server.verdict.kind !== 'usable')
      .map(server => ({
        server: server.server,
        service: service.service,
        node: server.node,
        verdict: server.verdict.kind,
        reason: server.verdict.reason,
      })),
  );
  return [
    renderTable(rows, 'no services'),
    '',
    renderTable(notUsable, 'no backend server is excluded'),
  ].join('\n');
}

/** Renders the nodes with the version in force at each. */
export function renderNodes(nodes: readonly NodeView[]): string {
  return renderTable(
    nodes.map(({node, dataCentre, state, configVersion}) => ({
      node,
      'data centre': dataCentre,
      state,
      version: configVersion,
    })),
  );
}

/** Renders the state of the fleet according to one node. */
export function renderStatus(status: StatusView): string {
  const behind = status.nodes.filter(
    node => node.configVersion < status.version,
  ).length;
  const age =
    status.logAgeMs === null
      ? 'log not read since the start'
      : `log read ${(status.logAgeMs / 1000).toFixed(1)} s ago`;
  return [
    `version ${status.version} in force, ${behind} of ${status.nodes.length} nodes behind, ${age}`,
    ...(status.hold ? [`not applying newer versions: ${status.hold}`] : []),
    '',
    renderNodes(status.nodes),
    '',
    renderServices(status.services),
  ].join('\n');
}

interface ConfigView {
  readonly version: number;
  readonly services: Readonly<Record<string, Row>>;
  readonly pools: Readonly<Record<string, Row>>;
  readonly routes: Readonly<Record<string, Row>>;
  readonly partners: Readonly<Record<string, Row>>;
  readonly accounts: Readonly<Record<string, Row>>;
  readonly retired: Readonly<Record<string, string>>;
}

/** Renders the configuration in force, with only the number of accounts. */
export function renderConfig(config: ConfigView): string {
  const services = Object.values(config.services).map(service => ({
    service: service.id,
    floor: service.floor,
    'timeout ms': service.timeoutMs,
    'stall ms': service.stallMs,
    queue: service.queuePerServer,
  }));
  const routes = Object.values(config.routes).map(route => ({
    route: route.id,
    host: route.host,
    prefix: route.pathPrefix,
    service: route.service,
    idempotent: route.idempotent,
    'key needed': route.requireKey,
  }));
  const retired = Object.entries(config.retired).map(([server, service]) => ({
    'retired server': server,
    service,
  }));
  return [
    `version ${config.version}, ${Object.keys(config.accounts).length} accounts`,
    renderTable(services, 'no services'),
    renderTable(Object.values(config.pools), 'no pools'),
    renderTable(routes, 'no routes'),
    renderTable(Object.values(config.partners), 'no partners'),
    renderTable(retired, 'no retired servers'),
  ].join('\n\n');
}

interface PlansView {
  readonly pending: readonly {
    readonly plan: string;
    readonly baseVersion: number;
    readonly changes: number;
    readonly kinds: readonly string[];
  }[];
  readonly confirmed: readonly {
    readonly confirmationId: string;
    readonly plan: string;
    readonly kind: string;
    readonly version?: number;
    readonly reason?: string;
  }[];
}

const maxShownOutcomes = 20;

/** Renders pending plans and recent outcomes. */
export function renderPlans(plans: PlansView): string {
  const pending = plans.pending.map(plan => ({
    plan: plan.plan,
    'made on': plan.baseVersion,
    changes: plan.changes,
    kinds: plan.kinds.join(' '),
  }));
  const confirmed = plans.confirmed.slice(-maxShownOutcomes).map(outcome => ({
    plan: outcome.plan,
    outcome: outcome.kind,
    version: outcome.version,
    confirmation: outcome.confirmationId,
    reason: outcome.reason,
  }));
  return [
    renderTable(pending, 'no pending plans'),
    '',
    renderTable(confirmed, 'no recent confirmations'),
  ].join('\n');
}
