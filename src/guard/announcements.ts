import * as E from 'fp-ts/lib/Either.js';
import * as t from 'io-ts';
import {
  asId,
  BackendServerId,
  ConflictError,
  decodeWith,
  isValidId,
  InvalidInputError,
  Millis,
  ServiceId,
} from '../base/index.js';
import {ServerPhase, serverPhaseCodec} from '../membership/index.js';

const announcementCodec = t.type({
  server: t.string,
  service: t.string,
  pool: t.string,
  address: t.string,
  incarnation: t.number,
  slots: t.number,
  phase: serverPhaseCodec,
});

/** The latest state that a backend server announced for itself. */
export interface Announcement {
  readonly server: BackendServerId;
  readonly service: ServiceId;
  readonly pool: string;
  /** host:port */
  readonly address: string;
  readonly incarnation: number;
  readonly slots: number;
  readonly phase: ServerPhase;
}

/** Age at which an announcement expires; backend servers announce themselves every second. */
export const announcementExpiryMs: Millis = 4000;

const addressPattern = /^[0-9a-f.:[\]]+:[0-9]{1,5}$/;

interface AnnouncementEntry {
  readonly announcement: Announcement;
  readonly recordedAtMs: Millis;
}

/** Backend servers of this VM, by their latest announcements. */
export class AnnouncementTable {
  private entries: ReadonlyMap<BackendServerId, AnnouncementEntry> = new Map();

  /** Records an announcement; Left is an InvalidInputError, or a ConflictError for a stale announcement. */
  record(value: unknown, nowMs: Millis): E.Either<Error, Announcement> {
    const decoded = decodeWith(announcementCodec, value);
    if (E.isLeft(decoded)) return decoded;
    const invalid = findInvalidField(decoded.right);
    if (invalid) return E.left(new InvalidInputError(invalid));
    const announcement: Announcement = {
      ...decoded.right,
      server: asId<BackendServerId>(decoded.right.server),
      service: asId<ServiceId>(decoded.right.service),
    };
    const known = this.entries.get(announcement.server)?.announcement;
    if (known && isStale(announcement, known)) {
      return E.left(
        new ConflictError(
          `announcement of ${known.server} is older than the known incarnation ${known.incarnation}; announce with a higher incarnation after a restart`,
        ),
      );
    }
    this.entries = new Map(this.entries).set(announcement.server, {
      announcement,
      recordedAtMs: nowMs,
    });
    return E.right(announcement);
  }

  get(server: BackendServerId): Announcement | undefined {
    return this.entries.get(server)?.announcement;
  }

  list(): readonly Announcement[] {
    return [...this.entries.values()].map(entry => entry.announcement);
  }

  /** Removes the announcements that have expired and returns them. */
  removeExpired(nowMs: Millis): readonly Announcement[] {
    const expired = [...this.entries.values()].filter(
      entry => nowMs - entry.recordedAtMs > announcementExpiryMs,
    );
    if (expired.length > 0) {
      const kept = new Map(this.entries);
      for (const entry of expired) kept.delete(entry.announcement.server);
      this.entries = kept;
    }
    return expired.map(entry => entry.announcement);
  }
}

// Within one incarnation a draining server never becomes ready again, so a later "ready" arrived out of order.
function isStale(next: Announcement, known: Announcement): boolean {
  if (next.incarnation !== known.incarnation) {
    return next.incarnation < known.incarnation;
  }
  return getPhaseOrder(next.phase) < getPhaseOrder(known.phase);
}

function getPhaseOrder(phase: ServerPhase): number {
  return ['starting', 'ready', 'draining', 'stopped'].indexOf(phase);
}

function findInvalidField(
  value: t.TypeOf<typeof announcementCodec>,
): string | undefined {
  for (const field of ['server', 'service', 'pool'] as const) {
    if (!isValidId(value[field])) {
      return `${field}: expected 1 to 64 of a-z 0-9 . _ -, got ${JSON.stringify(value[field].slice(0, 80))}`;
    }
  }
  if (!addressPattern.test(value.address)) {
    return `address: expected IP:port, got ${JSON.stringify(value.address.slice(0, 80))}`;
  }
  if (!Number.isInteger(value.slots) || value.slots < 1) {
    return `slots: expected a whole number from 1, got ${value.slots}`;
  }
  if (!Number.isFinite(value.incarnation)) {
    return `incarnation: expected a number, got ${value.incarnation}`;
  }
  return undefined;
}
