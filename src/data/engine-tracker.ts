import { EngineStatus, engineStatus } from '../shared/contracts/engine';
import { errorOrValue } from '../shared/errors/errors';
import { Follower } from '../shared/replication/follower';
import { Ports } from '../shared/ports/ports';
import { TimeLimits } from '../shared/settings/time-limits';
import { Engine } from '../shared/state/engines';
import { CONTROL_KEYS } from '../shared/state/control-keys';

/** What this router knows of one engine's health and load. */
export interface TrackedEngine {
  engine: Engine;
  status?: EngineStatus;
  statusAt: number;
  statusAskedAt: number;
  sentSinceStatus: number;
  sentTokensSinceStatus: number;
  mine: number;
  consecutiveFaults: number;
  circuitOpenUntil: number;
  isProbing: boolean;
  consecutiveRejections: number;
  rejectedUntil: number;
  msPerPrefillToken: number;
}

/** The engines as the news lists them, with their health. */
export interface EngineTracker {
  ofModel: (model: string) => TrackedEngine[];
  get: (id: string) => TrackedEngine | undefined;
  isUsable: (s: TrackedEngine) => boolean;
  isDraining: (s: TrackedEngine) => boolean;
  recordStart: (s: TrackedEngine, tokens: number) => void;
  recordEnd: (s: TrackedEngine, good: boolean) => void;
  observePrefill: (s: TrackedEngine, read: number, ms: number) => void;
  recordRejection: (s: TrackedEngine) => void;
  transferMsPerToken: (from: string, to: string) => number;
  observeTransfer: (from: string, to: string, tokens: number, ms: number) => void;
  update: () => void;
  stop: () => void;
}

const FAULTS_TO_OPEN = 3;
const SMOOTH = 0.2;
const FIRST_MS_PER_TOKEN = 0.3;
const FIRST_LINK_MS_PER_TOKEN = 0.05;

/** Follows the engines: one task for each asks how it stands. */
export function trackEngines(ports: Ports, bounds: TimeLimits, follower: Follower): EngineTracker {
  const seen = new Map<string, TrackedEngine>();
  const links = new Map<string, number>();
  let stopped = false;

  function renew(): void {
    const list = follower.value<Engine[]>(CONTROL_KEYS.engines)?.value ?? [];
    const want = new Map<string, Engine>();
    for (const e of list) want.set(e.id, e);
    for (const [id, s] of seen) if (want.get(id)?.at !== s.engine.at) seen.delete(id);
    for (const [id, e] of want) {
      const s = seen.get(id);
      if (s) {
        s.engine = e;
        continue;
      }
      const fresh: TrackedEngine = {
        engine: e,
        statusAt: 0,
        statusAskedAt: 0,
        sentSinceStatus: 0,
        sentTokensSinceStatus: 0,
        mine: 0,
        consecutiveFaults: 0,
        circuitOpenUntil: 0,
        isProbing: false,
        consecutiveRejections: 0,
        rejectedUntil: 0,
        msPerPrefillToken: FIRST_MS_PER_TOKEN,
      };
      seen.set(id, fresh);
      void tend(fresh);
    }
  }

  async function tend(s: TrackedEngine): Promise<void> {
    while (!stopped && seen.get(s.engine.id) === s) {
      await ask(s);
      await ports.clock.sleep(bounds.statusTimeoutMs * 3 * (0.7 + 0.6 * ports.random.next()));
    }
  }

  async function ask(s: TrackedEngine): Promise<void> {
    const asked = ports.clock.now();
    const [f, st] = errorOrValue(
      await engineStatus(ports.network, s.engine.at, bounds.statusTimeoutMs),
    );
    if (f) {
      noteFault(s);
      return;
    }
    s.status = st;
    s.statusAt = ports.clock.now();
    s.statusAskedAt = asked;
    s.sentSinceStatus = 0;
    s.sentTokensSinceStatus = 0;
    if (s.isProbing || s.circuitOpenUntil > 0) {
      s.consecutiveFaults = 0;
      s.circuitOpenUntil = 0;
      s.isProbing = false;
    }
  }

  function noteFault(s: TrackedEngine): void {
    s.consecutiveFaults++;
    if (s.consecutiveFaults >= FAULTS_TO_OPEN)
      s.circuitOpenUntil =
        ports.clock.now() +
        bounds.circuitOpenMs * Math.min(8, s.consecutiveFaults - FAULTS_TO_OPEN + 1);
  }

  function ofModel(model: string): TrackedEngine[] {
    const out: TrackedEngine[] = [];
    for (const s of seen.values()) if (s.engine.model === model) out.push(s);
    return out;
  }

  function leaves(s: TrackedEngine): boolean {
    return s.engine.leaving || follower.isDraining(s.engine.id);
  }

  function fit(s: TrackedEngine): boolean {
    const now = ports.clock.now();
    if (leaves(s) || !s.status || s.status.leaving || now - s.statusAt > bounds.circuitOpenMs * 4)
      return false;
    if (now < s.rejectedUntil) return false;
    if (s.circuitOpenUntil === 0) return true;
    return now >= s.circuitOpenUntil && !s.isProbing;
  }

  function began(s: TrackedEngine, tokens: number): void {
    s.sentSinceStatus++;
    s.mine++;
    s.sentTokensSinceStatus += tokens;
    if (s.circuitOpenUntil > 0) s.isProbing = true;
  }

  function ended(s: TrackedEngine, good: boolean): void {
    s.mine--;
    s.isProbing = false;
    if (!good) return noteFault(s);
    s.consecutiveFaults = 0;
    s.circuitOpenUntil = 0;
  }

  function learnedPrefill(s: TrackedEngine, read: number, ms: number): void {
    s.consecutiveRejections = 0;
    if (read > 0) s.msPerPrefillToken += SMOOTH * (ms / read - s.msPerPrefillToken);
  }

  function turnedAway(s: TrackedEngine): void {
    s.consecutiveRejections++;
    s.rejectedUntil =
      ports.clock.now() +
      Math.min(
        bounds.circuitOpenMs,
        bounds.statusTimeoutMs * 2 ** Math.min(8, s.consecutiveRejections - 1),
      ) *
        (0.7 + 0.6 * ports.random.next());
    void ask(s);
  }

  function linkCost(from: string, to: string): number {
    return links.get(`${from} ${to}`) ?? FIRST_LINK_MS_PER_TOKEN;
  }

  function learnedLink(from: string, to: string, tokens: number, ms: number): void {
    if (tokens > 0)
      links.set(
        `${from} ${to}`,
        linkCost(from, to) + 2 * SMOOTH * (ms / tokens - linkCost(from, to)),
      );
  }

  function get(id: string): TrackedEngine | undefined {
    return seen.get(id);
  }

  function stop(): void {
    stopped = true;
  }

  renew();
  return {
    ofModel,
    get,
    isUsable: fit,
    isDraining: leaves,
    recordStart: began,
    recordEnd: ended,
    observePrefill: learnedPrefill,
    recordRejection: turnedAway,
    transferMsPerToken: linkCost,
    observeTransfer: learnedLink,
    update: renew,
    stop,
  };
}
