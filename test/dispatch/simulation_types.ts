import {DataCentreId} from '../../src/base/index.js';
import {
  FaultEstimator,
  IdleReports,
  IdleReportSchedule,
  RunDurationEstimator,
  SlotQueue,
} from '../../src/dispatch/index.js';

/** Requests with the same duration, target, deadline and priority. */
export interface RequestClass {
  readonly name: string;
  readonly share: number;
  readonly workMs: number;
  readonly targetMs: number;
  readonly deadlineMs: number;
  readonly priority: number;
  readonly isIdempotent: boolean;
}

/** Offered load over time, and servers that hang for a while. */
export interface LoadPattern {
  readonly servers: number;
  readonly slots: number;
  readonly classes: readonly RequestClass[];
  readonly lengthMs: number;
  /** Offered load as a fraction of the capacity of all slots. */
  getLoad(atMs: number): number;
  /** Whether a server fails three of four requests that start at this time. */
  isFaulty(server: number, atMs: number): boolean;
  /** How a faulty server fails a request: it hangs until the deadline, or answers an error at once. */
  readonly failure: 'hang' | 'early-error';
  /** Requests a second that a server names as its limit in an answer at this time. */
  getLimit?(server: number, atMs: number): number | undefined;
  /**
   * Number of entries among which the requests are spread; each knows of a guard what its own requests were told. By
   * default there is one, which knows the current state of all guards.
   */
  readonly entries?: number;
  /** Number of data centres among which the servers are spread. */
  readonly dataCentres?: number;
  /** Number of data centres that have callers; all by default. */
  readonly callingDataCentres?: number;
}

/** `plain`: a random server, FIFO queues, no refusal. `dispatch`: the rules of `src/dispatch`. */
export type Policy = 'plain' | 'dispatch' | 'dispatch-without-estimator';

/** Slot counts that a guard has told an entry. */
export interface ReportedCounts {
  readonly free: number;
  readonly waiting: number;
  readonly at: number;
}

/** What one entry knows of the guards that it has asked. */
export interface EntryView {
  readonly dataCentre: DataCentreId;
  readonly reported: Map<Server, ReportedCounts>;
  readonly idleReports: IdleReports;
}

/** A simulated request and what became of it. */
export interface Request {
  readonly id: number;
  readonly entry: EntryView;
  readonly kind: RequestClass;
  readonly arrivedAt: number;
  endedAt: number | undefined;
  /** When it was refused because it could not be served. */
  refusedAt: number | undefined;
  runs: number;
}

/** A simulated server with its guard. */
export interface Server {
  readonly index: number;
  readonly dataCentre: DataCentreId;
  readonly queue: SlotQueue<Request>;
  readonly fifo: Request[];
  readonly estimator: FaultEstimator;
  readonly idleReports: IdleReportSchedule;
  readonly runDurations: RunDurationEstimator;
  readonly running: Map<Request, number>;
  readonly starts: number[];
}
