import { Run } from './book';
import { Exchange } from './serve';

/** What an engine is. Times are ms. */
export interface EngineSpec {
  instance: string;
  service: string;
  at: string;
  zone: string;
  revision: string;
  healthPath: string;
  capacity: number;
  queue: number;
  maxConnections: number;
  cacheTokens: number;
  kvTokenBytes: number;
  bandwidthMbps: number;
  stride: number;
  stepMs: number;
  prefillPerMs: number;
  /** The plain work of a request that is no generation. */
  workMs: number;
  model?: string;
  /** How many requests a second it bears while it is cold. */
  warmUpPerS?: number;
  loadMs: number;
  /** Ms after which an idle connection is closed. */
  idleMs: number;
}

/** The troubles of an engine: shares of its answers, or how much slower it is. */
export interface EngineTroubles {
  /** A surplus answer comes in the place of the next one. */
  garble: number;
  /** The connection is reset after the run, with no answer. */
  lost: number;
  /** The answer is broken off in its middle. */
  breakOff: number;
  /** The bytes are no answer. */
  noAnswer: number;
  /** The engine fails with a 500, having run. */
  fails: number;
  /** Nothing is ever said. */
  silent: number;
  /** Idle connections are closed at once, whatever was said. */
  closeIdle: boolean;
  /** Answers that carry `Connection: close`. */
  closes: number;
  slow: number;
  full: boolean;
  /** The health path says 200, whatever is so. */
  lyingHealth: boolean;
}

/** No trouble. */
export function calm(): EngineTroubles {
  return {
    garble: 0,
    lost: 0,
    breakOff: 0,
    noAnswer: 0,
    fails: 0,
    silent: 0,
    closeIdle: false,
    closes: 0,
    slow: 1,
    full: false,
    lyingHealth: false,
  };
}

/** One request inside an engine. */
export interface Job {
  x: Exchange;
  id: string;
  model: string;
  urgency: number;
  order: number;
  deadlineAt: number;
  salt: string;
  parts: { id: string; tokens: number }[];
  tokensIn: number;
  total: number;
  next: number;
  held: number;
  run?: Run;
  /** The version that its next event has to tell. */
  tell?: number;
  stop: () => void;
  over: boolean;
}

/** The batch of one engine's life. */
export interface Batch {
  queue: Job[];
  running: Set<Job>;
  submit: (x: Exchange) => void;
  /** Turns away, as not run, the jobs of a model that haven't started. */
  clear: (model: string) => void;
  /** Resets the streams of a model that run. */
  preempt: (model: string) => void;
  busyWith: (model: string) => boolean;
  /** Has something run once no job of the model runs any more. */
  whenIdle: (model: string, run: () => void) => void;
  turn: () => void;
  close: () => void;
  blocked: Set<string>;
  leaving: boolean;
}
