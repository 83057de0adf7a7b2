import {BackendServerId, Millis} from '../base/index.js';
import {BackendProcess} from '../mesh/index.js';

/** A backend process that has announced its shutdown, as persisted in the store. */
export interface Departure extends BackendProcess {
  /** Set if the start time is unknown: the process started at `startedAtMs` or before. */
  readonly isUpperBound?: boolean;
}

/** What a node knows of departures from its VM, persisted for its next process. */
export interface DepartureState {
  /** Newest departure of a process that was the current one of the VM; all that started before it have ended. */
  readonly last: Departure | undefined;
  /** The newest departure last. */
  readonly all: readonly Departure[];
}

/** Departures of one VM that are retained; late reports of processes that left before these are not expected any more. */
const maxDepartures = 16;

export const noDepartures: DepartureState = {last: undefined, all: []};

export function isSameProcess(a: BackendProcess, b: BackendProcess): boolean {
  return a.server === b.server && a.startedAtMs === b.startedAtMs;
}

/** Adds a departure to a list unless it is known; returns the list itself in that case. */
export function addDeparture(
  departures: readonly Departure[],
  {server, startedAtMs, isUpperBound}: Departure,
): readonly Departure[] {
  const departure = {server, startedAtMs, ...(isUpperBound && {isUpperBound})};
  const isKnown = departures.some(
    other =>
      isSameProcess(other, departure) && (!other.isUpperBound || isUpperBound),
  );
  if (isKnown) return departures;
  return [
    ...departures.filter(other => !isSameProcess(other, departure)),
    departure,
  ].slice(-maxDepartures);
}

/** Whether a process has left: a departure covers all processes of its server that started up to its start time. */
export function hasDeparted(
  departures: readonly Departure[],
  process: BackendProcess,
): boolean {
  return departures.some(departure => isCovered(departure, process));
}

/**
 * Replaces a departure whose start time was unknown by a late report, which states it; returns the list itself if there
 * is none.
 */
export function replaceUpperBound(
  departures: readonly Departure[],
  {server, startedAtMs}: BackendProcess,
): readonly Departure[] {
  const bound = departures.find(
    departure =>
      departure.isUpperBound && isCovered(departure, {server, startedAtMs}),
  );
  if (!bound) return departures;
  const resolved = {server, startedAtMs: bound.startedAtMs};
  const others = departures.filter(departure => departure !== bound);
  return addDeparture(addDeparture(others, resolved), {server, startedAtMs});
}

function isCovered(
  departure: Departure,
  {server, startedAtMs}: BackendProcess,
): boolean {
  return departure.server === server && startedAtMs <= departure.startedAtMs;
}

/** A server's notice that it leaves. */
export interface Deregistration {
  readonly server: BackendServerId;
  /** Unix time of the process start; undefined if the notice does not state it. */
  readonly startedAtMs: Millis | undefined;
}
