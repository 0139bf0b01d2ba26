/**
 * Outlier ejection: engines whose attempts failed or were rejected are left out for a time that doubles with each
 * further failure, then tried by one request at a time until one has answered. At most half of a pool is ejected.
 */

/**
 * How an attempt ended for its engine: with its answer; `rejected` before it ran; `failed` without an answer that can be
 * told to be the engine's; or `cancelled`, which says nothing of the engine.
 */
export type AttemptResult = 'answered' | 'rejected' | 'failed' | 'cancelled';

interface EngineHealth {
  /** Rises by 1 with each failure, falls with answers; its whole part is the doublings of the next ejection. */
  failureScore: number;
  consecutiveRejections: number;
  ejectedUntil: number;
  ejectedAt: number;
  /** Whether its last ejection was for a failure and it has not answered since. */
  isOnProbation: boolean;
  attemptsInFlight: number;
}

/** Names of a pool by whether they are healthy, on probation with no attempt in flight, or ejected. */
interface HealthGroups {
  healthy: string[];
  onProbation: string[];
  ejected: string[];
}

/** The share of a pool that may be ejected at once. */
const MAX_EJECTED_RATIO = 0.5;
/** What one answer takes back of one failure: engines that fail more than a fifth of their requests stay ejected longer and longer. */
const ANSWER_CREDIT = 0.25;
const MAX_DOUBLINGS = 5;
/** An ejection lasts between these multiples of its nominal time, so that routers do not all come back at once. */
const JITTER_MIN_RATIO = 0.8;
const JITTER_SPAN_RATIO = 0.4;

/** Keeps the health of engines by name. Times are ms of the clock that it is given. */
export class OutlierEjection {
  private readonly engines = new Map<string, EngineHealth>();

  /** `random` draws from 0 to under 1; `baseEjectionMs` is the first ejection's time. */
  constructor(
    private readonly now: () => number,
    private readonly random: () => number,
    private readonly baseEjectionMs: number,
  ) {}

  /**
   * Of these engines, the ones that may be used. Those on probation take one request at a time, and none that must run
   * only once where healthy ones are left. Where too many are ejected, those that return soonest are used all the same.
   */
  available(names: readonly string[], isIdempotent: boolean): string[] {
    const { healthy, onProbation, ejected } = this.group(names);
    const mayProbe = isIdempotent || healthy.length === 0;
    const chosen = mayProbe ? [...healthy, ...onProbation] : healthy;
    const minimum = Math.ceil(names.length * (1 - MAX_EJECTED_RATIO));
    if (chosen.length >= minimum || chosen.length === names.length) return chosen;
    for (const name of onProbation)
      if (!chosen.includes(name) && chosen.length < minimum) chosen.push(name);
    for (const name of this.soonestFirst(ejected)) if (chosen.length < minimum) chosen.push(name);
    return chosen;
  }

  /** Records that an attempt at an engine begins. */
  recordStart(name: string): void {
    this.healthOf(name).attemptsInFlight++;
  }

  /** Records how an attempt ended that was sent at `sentAt`. What was sent before the last ejection counts no further: one crash fails many attempts. */
  recordEnd(name: string, result: AttemptResult, sentAt: number): void {
    const health = this.healthOf(name);
    health.attemptsInFlight = Math.max(0, health.attemptsInFlight - 1);
    if (result === 'answered') return recordAnswer(health, sentAt);
    if (result === 'cancelled' || sentAt < health.ejectedAt) return;
    if (result === 'rejected') this.recordRejection(health);
    else this.recordFailure(health);
  }

  /** Ms until the first of these engines is no longer ejected, at most the first ejection's time. */
  msUntilAvailable(names: readonly string[]): number {
    const now = this.now();
    let soonestMs = this.baseEjectionMs;
    for (const name of names) {
      const ejectedUntil = this.engines.get(name)?.ejectedUntil ?? now;
      soonestMs = Math.min(soonestMs, Math.max(0, ejectedUntil - now));
    }
    return soonestMs;
  }

  /** Forgets all engines but these. */
  retain(names: ReadonlySet<string>): void {
    for (const name of this.engines.keys()) if (!names.has(name)) this.engines.delete(name);
  }

  private group(names: readonly string[]): HealthGroups {
    const now = this.now();
    const groups: HealthGroups = { healthy: [], onProbation: [], ejected: [] };
    for (const name of names) {
      const health = this.engines.get(name);
      if (!health || (health.ejectedUntil <= now && !health.isOnProbation))
        groups.healthy.push(name);
      else if (health.ejectedUntil > now) groups.ejected.push(name);
      else if (health.attemptsInFlight === 0) groups.onProbation.push(name);
    }
    return groups;
  }

  private soonestFirst(names: readonly string[]): string[] {
    const { engines } = this;
    function ejectedUntil(name: string): number {
      return engines.get(name)?.ejectedUntil ?? 0;
    }
    function bySoonest(a: string, b: string): number {
      return ejectedUntil(a) - ejectedUntil(b);
    }
    return [...names].sort(bySoonest);
  }

  private recordRejection(health: EngineHealth): void {
    this.eject(health, health.consecutiveRejections - 1);
    health.consecutiveRejections++;
  }

  private recordFailure(health: EngineHealth): void {
    this.eject(health, Math.floor(health.failureScore));
    health.failureScore = Math.min(MAX_DOUBLINGS, health.failureScore + 1);
    health.isOnProbation = true;
  }

  private eject(health: EngineHealth, doublings: number): void {
    const nominalMs = this.baseEjectionMs * 2 ** Math.min(MAX_DOUBLINGS, doublings);
    health.ejectedAt = this.now();
    health.ejectedUntil =
      health.ejectedAt + nominalMs * (JITTER_MIN_RATIO + JITTER_SPAN_RATIO * this.random());
  }

  private healthOf(name: string): EngineHealth {
    const known = this.engines.get(name);
    if (known) return known;
    const health: EngineHealth = {
      failureScore: 0,
      consecutiveRejections: 0,
      ejectedUntil: 0,
      ejectedAt: -Infinity,
      isOnProbation: false,
      attemptsInFlight: 0,
    };
    this.engines.set(name, health);
    return health;
  }
}

function recordAnswer(health: EngineHealth, sentAt: number): void {
  health.failureScore = Math.max(0, health.failureScore - ANSWER_CREDIT);
  health.consecutiveRejections = 0;
  if (sentAt >= health.ejectedAt) health.isOnProbation = false;
}
