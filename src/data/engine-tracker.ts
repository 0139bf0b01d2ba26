/**
 * The engines as the control state lists them, with the health and load that each reports, a circuit breaker for each,
 * and what is learned of their prefill and of transfers between them.
 */

import { EngineStatus, engineStatus } from '../shared/contracts/engine';
import { errorOrValue } from '../shared/errors/errors';
import { isZoneEvacuated } from '../shared/replication/evacuated-zones';
import { Follower } from '../shared/replication/follower';
import { Ports } from '../shared/ports/ports';
import { TimeLimits } from '../shared/settings/time-limits';
import { Engine } from '../shared/state/engines';
import { CONTROL_KEYS } from '../shared/state/control-keys';

/** What this router knows of one engine. Times are ms of the clock port. */
export interface TrackedEngine {
  engine: Engine;
  /** Its newest report; none before the first one. */
  status?: EngineStatus;
  statusAt: number;
  /** When the newest report was asked for. */
  statusAskedAt: number;
  /** Requests that were ever sent there, and the tokens that they had it read. */
  sentRequests: number;
  sentTokens: number;
  /** Those of them that were sent since its newest report was asked for, which may not have them. */
  sentSinceStatus: number;
  sentTokensSinceStatus: number;
  consecutiveFaults: number;
  /** Until when its circuit is open; 0 where it is closed. */
  circuitOpenUntil: number;
  /** Whether a request is under way that tries it after its circuit was open. */
  isProbing: boolean;
  consecutiveRejections: number;
  rejectedUntil: number;
  msPerPrefillToken: number;
}

/** Faults in a row that open an engine's circuit. */
const FAULTS_TO_OPEN_CIRCUIT = 3;
/** A circuit is open for up to this many times `circuitOpenMs`. */
const MAX_CIRCUIT_OPEN_RATIO = 8;
/** A report that is older than this many times `circuitOpenMs` is not trusted. */
const MAX_STATUS_AGE_RATIO = 4;
/** The pause between two reports, as a multiple of their time-out. */
const STATUS_PAUSE_RATIO = 3;
const MAX_REJECTION_DOUBLINGS = 8;
/** Pauses lie between these multiples of themselves. */
const JITTER_MIN_RATIO = 0.7;
const JITTER_SPAN_RATIO = 0.6;
/** The share that one sample of prefill counts; one of a transfer counts twice that. */
const PREFILL_SMOOTHING_RATIO = 0.2;
const TRANSFER_SMOOTHING_RATIO = 2 * PREFILL_SMOOTHING_RATIO;
const INITIAL_MS_PER_PREFILL_TOKEN = 0.3;
const INITIAL_TRANSFER_MS_PER_TOKEN = 0.05;

function newlyTracked(engine: Engine): TrackedEngine {
  return {
    engine,
    statusAt: 0,
    statusAskedAt: 0,
    sentRequests: 0,
    sentTokens: 0,
    sentSinceStatus: 0,
    sentTokensSinceStatus: 0,
    consecutiveFaults: 0,
    circuitOpenUntil: 0,
    isProbing: false,
    consecutiveRejections: 0,
    rejectedUntil: 0,
    msPerPrefillToken: INITIAL_MS_PER_PREFILL_TOKEN,
  };
}

function closeCircuit(tracked: TrackedEngine): void {
  tracked.consecutiveFaults = 0;
  tracked.circuitOpenUntil = 0;
}

/** Tracks the engines: one task for each asks for its status. */
export class EngineTracker {
  private readonly tracked = new Map<string, TrackedEngine>();
  /** Ms for each token, by source and destination. */
  private readonly transfers = new Map<string, number>();
  private isStopped = false;

  constructor(
    private readonly ports: Ports,
    private readonly timeLimits: TimeLimits,
    private readonly follower: Follower,
  ) {
    this.update();
  }

  /** Takes the newest list of engines; one at another address is another engine. */
  update(): void {
    const list = this.follower.value<Engine[]>(CONTROL_KEYS.engines)?.value ?? [];
    const listed = new Map<string, Engine>();
    for (const engine of list) listed.set(engine.id, engine);
    for (const [id, { engine }] of this.tracked)
      if (listed.get(id)?.at !== engine.at) this.tracked.delete(id);
    for (const [id, engine] of listed) {
      const known = this.tracked.get(id);
      if (known) known.engine = engine;
      else this.track(engine);
    }
  }

  /** The engines of a model. */
  ofModel(model: string): TrackedEngine[] {
    const engines: TrackedEngine[] = [];
    for (const tracked of this.tracked.values())
      if (tracked.engine.model === model) engines.push(tracked);
    return engines;
  }

  /** An engine by its id. */
  get(id: string): TrackedEngine | undefined {
    return this.tracked.get(id);
  }

  /** Whether an engine is known to drain, by the list or ahead of it. */
  isDraining({ engine }: TrackedEngine): boolean {
    return engine.leaving || this.follower.isDraining(engine.id);
  }

  /** Whether an engine may get a request: it reports, does not drain, is in no evacuated zone, and its circuit is closed or to be probed. */
  isUsable(tracked: TrackedEngine): boolean {
    const now = this.ports.clock.now();
    const { status, statusAt, circuitOpenUntil } = tracked;
    if (this.isDraining(tracked) || !status || status.leaving) return false;
    if (isZoneEvacuated(this.follower, tracked.engine.zone)) return false;
    if (now - statusAt > this.timeLimits.circuitOpenMs * MAX_STATUS_AGE_RATIO) return false;
    if (now < tracked.rejectedUntil) return false;
    if (circuitOpenUntil === 0) return true;
    return now >= circuitOpenUntil && !tracked.isProbing;
  }

  /** Counts a request from when it is sent; `tokens` is what it has the engine read. */
  recordStart(tracked: TrackedEngine, tokens: number): void {
    tracked.sentRequests++;
    tracked.sentTokens += tokens;
    tracked.sentSinceStatus++;
    tracked.sentTokensSinceStatus += tokens;
    if (tracked.circuitOpenUntil > 0) tracked.isProbing = true;
  }

  /** Records whether an engine answered a request, if only with a rejection. */
  recordEnd(tracked: TrackedEngine, hasAnswered: boolean): void {
    tracked.isProbing = false;
    if (hasAnswered) closeCircuit(tracked);
    else this.recordFault(tracked);
  }

  /** Learns from an answer how long reading its prompt took. */
  observePrefill(tracked: TrackedEngine, tokens: number, ms: number): void {
    tracked.consecutiveRejections = 0;
    if (tokens > 0)
      tracked.msPerPrefillToken +=
        PREFILL_SMOOTHING_RATIO * (ms / tokens - tracked.msPerPrefillToken);
  }

  /** Leaves an engine out that rejected a request, for a backoff that doubles, and asks for its status at once. */
  recordRejection(tracked: TrackedEngine): void {
    const { statusTimeoutMs, circuitOpenMs } = this.timeLimits;
    const { clock, random } = this.ports;
    tracked.consecutiveRejections++;
    const doublings = Math.min(MAX_REJECTION_DOUBLINGS, tracked.consecutiveRejections - 1);
    tracked.rejectedUntil =
      clock.now() +
      Math.min(circuitOpenMs, statusTimeoutMs * 2 ** doublings) *
        (JITTER_MIN_RATIO + JITTER_SPAN_RATIO * random.next());
    void this.requestStatus(tracked);
  }

  /** Ms that the transfer of one cached token takes. */
  transferMsPerToken(from: string, to: string): number {
    return this.transfers.get(`${from} ${to}`) ?? INITIAL_TRANSFER_MS_PER_TOKEN;
  }

  /** Learns how long a transfer took. */
  observeTransfer(from: string, to: string, tokens: number, ms: number): void {
    if (tokens <= 0) return;
    const before = this.transferMsPerToken(from, to);
    this.transfers.set(`${from} ${to}`, before + TRANSFER_SMOOTHING_RATIO * (ms / tokens - before));
  }

  /** Ends the tasks, each at its next turn. */
  stop(): void {
    this.isStopped = true;
  }

  private track(engine: Engine): void {
    const tracked = newlyTracked(engine);
    this.tracked.set(engine.id, tracked);
    void this.pollStatus(tracked);
  }

  private async pollStatus(tracked: TrackedEngine): Promise<void> {
    const { clock, random } = this.ports;
    while (!this.isStopped && this.tracked.get(tracked.engine.id) === tracked) {
      await this.requestStatus(tracked);
      await clock.sleep(
        this.timeLimits.statusTimeoutMs *
          STATUS_PAUSE_RATIO *
          (JITTER_MIN_RATIO + JITTER_SPAN_RATIO * random.next()),
      );
    }
  }

  private async requestStatus(tracked: TrackedEngine): Promise<void> {
    const { clock, network } = this.ports;
    const askedAt = clock.now();
    const { sentRequests, sentTokens } = tracked;
    const [error, status] = errorOrValue(
      await engineStatus(network, tracked.engine.at, this.timeLimits.statusTimeoutMs),
    );
    if (error) return this.recordFault(tracked);
    // A reply to an earlier request, which a later one overtook.
    if (askedAt < tracked.statusAskedAt) return;
    tracked.status = status;
    tracked.statusAt = clock.now();
    tracked.statusAskedAt = askedAt;
    // What was sent while the engine was asked may not be in its reply.
    tracked.sentSinceStatus = tracked.sentRequests - sentRequests;
    tracked.sentTokensSinceStatus = tracked.sentTokens - sentTokens;
    if (!tracked.isProbing && tracked.circuitOpenUntil === 0) return;
    closeCircuit(tracked);
    tracked.isProbing = false;
  }

  private recordFault(tracked: TrackedEngine): void {
    tracked.consecutiveFaults++;
    if (tracked.consecutiveFaults < FAULTS_TO_OPEN_CIRCUIT) return;
    const faultsBeyond = tracked.consecutiveFaults - FAULTS_TO_OPEN_CIRCUIT + 1;
    tracked.circuitOpenUntil =
      this.ports.clock.now() +
      this.timeLimits.circuitOpenMs * Math.min(MAX_CIRCUIT_OPEN_RATIO, faultsBeyond);
  }
}

/** Tracks the engines that a follower lists. */
export function trackEngines(
  ports: Ports,
  timeLimits: TimeLimits,
  follower: Follower,
): EngineTracker {
  return new EngineTracker(ports, timeLimits, follower);
}
