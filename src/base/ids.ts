/** A string type that is distinct for each kind of identifier. */
export type Branded<Kind extends string> = string & {readonly __kind: Kind};

/** Id of a node: the proxy process on one VM, a member of the fleet. */
export type NodeId = Branded<'NodeId'>;
/** Id of a backend server, unique in the fleet. */
export type BackendServerId = Branded<'BackendServerId'>;
/** Id of a service, to which routes send requests. */
export type ServiceId = Branded<'ServiceId'>;
/** Id of a pool of backend servers within a service. */
export type PoolId = Branded<'PoolId'>;
/** Id of a route. */
export type RouteId = Branded<'RouteId'>;
/** Id of a client account. */
export type AccountId = Branded<'AccountId'>;
/** Id of a partner: a group of client accounts. Partners share the slots of a backend server by their weights. */
export type PartnerId = Branded<'PartnerId'>;
/** Id of a data centre. */
export type DataCentreId = Branded<'DataCentreId'>;
/** Id of a region. */
export type RegionId = Branded<'RegionId'>;
/** Id of an operator's plan. */
export type PlanId = Branded<'PlanId'>;
/** Id of one caller request, assigned by its entry node. */
export type RequestId = Branded<'RequestId'>;
/** Id of one claim on an idempotency key. */
export type ClaimId = Branded<'ClaimId'>;

/** Casts a validated string to an id type. */
export function asId<Id extends string>(text: string): Id {
  return text as Id;
}

const idPattern = /^[a-z0-9][a-z0-9._-]{0,63}$/;

/** Whether a string is a valid id: 1 to 64 characters of a-z 0-9 . _ -, the first one a letter or digit. */
export function isValidId(text: string): boolean {
  return idPattern.test(text);
}
