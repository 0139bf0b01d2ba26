import { Either } from 'purify-ts';
import { CallerRequest, Deployment, NamedChange } from '../state/deployment';
import { RawHeaderList } from '../ports/raw-http';
import { Settings } from '../settings/settings';
import { Engine } from '../state/engines';

/** A header list as it stands on the wire: name, value, name, value. */
export type RawHeaders = RawHeaderList;

/** A request that a dialect words; the product sends it. */
export interface AdapterRequest {
  method: string;
  target: string;
  headers: RawHeaders;
  body?: string | Uint8Array;
}

/** What one attempt at an engine carries beside the caller's own request. */
export interface AttemptOptions {
  /** The engine's instance that alone may run it. */
  instance: string;
  /** Ms that are left. */
  deadlineMs: number;
  tenant?: string;
  /** The text under which the engine keeps and finds parts. */
  salt?: string;
  /** The weights that alone may run it. */
  weights?: string;
  /** 0 goes first, 9 last. */
  urgency?: number;
  /** Where the engine first takes parts from. */
  fetchFrom?: string;
  /** Where the engine sends parts that it read. */
  storeAt?: string;
  /** The last event that was passed on, where a stream goes on at another engine. */
  lastEvent?: string;
}

/** How an engine's answer begins: `answer` is the engine's own answer, whatever its status; `not-run` is its word that it did not and will not run it; `doubt` is anything else. */
export interface EngineResponseHead {
  verdict: 'answer' | 'not-run' | 'other-instance' | 'other-weights' | 'doubt';
  /** The id of the try that is answered, where the answer tells it. */
  id?: string;
  /** The instance that answers, where the answer tells it. */
  instance?: string;
  /** Whether the answer carries the engine's stamp. */
  sealed: boolean;
  /** The weights that it runs with, by model. */
  weights: Record<string, string>;
  /** Whether the engine wants the connection closed. */
  closing: boolean;
  /** Seconds that the connection may stay idle. */
  keepS?: number;
}

/** One whole event of a stream: its bytes as they came, its id, and weights where they changed. */
export interface StreamEvent {
  bytes: Uint8Array;
  id?: string;
  weights?: string;
}

/** Cuts a stream's bytes into whole events; what is not whole yet is held back. */
export interface EventParser {
  take: (bytes: Uint8Array) => StreamEvent[];
  /** Bytes of an event that is not whole. */
  rest: () => number;
}

/** How an engine says that it stands. */
export interface EngineReport {
  models: { name: string; weights: string }[];
  busy: boolean;
  orders: number;
  waiting: number;
  running: number;
  cacheUsed: number;
  cacheTotal: number;
}

/** One thing that a source of kept parts tells: a part came or went, under a salt and a model. */
export interface CacheEvent {
  seq: number;
  kind: 'stored' | 'removed';
  model: string;
  salt: string;
  hash: string;
  /** Tokens that are kept of it now. */
  size: number;
}

/** What a source of kept parts has told since a number. */
export interface CacheEventBatch {
  epoch: string;
  next: number;
  lost: boolean;
  events: CacheEvent[];
}

/** All that a source keeps, as of a number. */
export interface CacheSnapshot {
  epoch: string;
  next: number;
  held: { salt: string; hash: string; size: number; model: string }[];
}

/** An order to an engine to take up weights; `fence` is unique to the holder's term and rises. */
export interface WeightsOrder {
  /** The engine's instance that alone may take it. */
  instance: string;
  model: string;
  weights: string;
  method: 'queue' | 'preempt' | 'retain';
  holder: string;
  fence: number;
  /** How many orders the engine has taken, where that is known: it takes this one only if that is so. */
  expected?: number;
}

/** What became of an order. */
export type OrderReply =
  'taken' | 'holds' | 'busy' | 'fenced' | 'bad' | 'other-instance' | 'unknown';

/** One page of the platform's list. */
export interface EnginePage {
  engines: Engine[];
  next?: string;
}

/** A call about a tally: what it asks for, and the tally's name. */
export interface TallyCall {
  kind: 'add' | 'read';
  tally: string;
}

/** An addition to a tally; the caller's id tells one that comes again. */
export interface TallyAddition {
  id: string;
  amount: number;
}

/** An operator's call that starts or finishes the evacuation of a zone; no zone where its name can't be read. */
export interface EvacuationCall {
  zone: string | undefined;
  evacuated: boolean;
}

/** How the product is spoken to and speaks at its edges: names, formats and calls. It decides nothing. */
export interface PlatformAdapter {
  name: string;
  /** Reads a settings file's text into settings; unknown fields are passed over. */
  settings: (text: string) => Either<string[], Settings>;
  /** Reads an operator's document into our words; faults by path. */
  deployment: (doc: unknown) => Either<string[], Deployment>;
  /** Reads an operator's named change. */
  namedChange: (doc: unknown) => Either<string[], NamedChange>;
  callers: {
    /** Reads what a caller asks for; a string says what is wrong with it. */
    read: (
      method: string,
      target: string,
      headers: Record<string, string | undefined>,
    ) => Either<string, CallerRequest>;
    readinessPath: string;
  };
  engines: {
    /** Words an attempt from the caller's own method, target, headers and body. */
    attempt: (
      q: { method: string; target: string; headers: RawHeaders; body: Uint8Array },
      terms: AttemptOptions,
    ) => AdapterRequest;
    head: (status: number, headers: Record<string, string | undefined>) => EngineResponseHead;
    /** Headers of an engine's answer that go back to the caller. */
    passBack: (headers: RawHeaders) => RawHeaders;
    events: () => EventParser;
    report: {
      ask: () => AdapterRequest;
      read: (status: number, body: unknown) => Either<string, EngineReport>;
    };
    feed: {
      ask: (since: number, waitMs: number) => AdapterRequest;
      read: (status: number, body: unknown) => Either<string, CacheEventBatch>;
    };
    list: {
      ask: () => AdapterRequest;
      read: (status: number, body: unknown) => Either<string, CacheSnapshot>;
    };
    order: {
      ask: (o: WeightsOrder) => AdapterRequest;
      read: (status: number, body: unknown) => OrderReply;
    };
  };
  instances: {
    ask: (zone: string | undefined, page: string | undefined) => AdapterRequest;
    read: (status: number, body: unknown) => Either<string, EnginePage>;
  };
  operators: {
    paths: { replace: string; update: string; describe: string; weights: string };
    /** Reads a call about a tally by its path; undefined where it is none. */
    tallyCall: (path: string) => Either<string, TallyCall> | undefined;
    /** Reads an addition to a tally; a string names the field and what is wrong with it. */
    tallyAddition: (doc: unknown) => Either<string, TallyAddition>;
    /** Words the total of a tally. */
    tallyTotal: (total: bigint) => unknown;
    baseVersion: (headers: Record<string, string | undefined>) => number | undefined;
    /** Reads named weights; a higher rank is newer. */
    weights: (doc: unknown) => Either<string, { model: string; weights: string; rank: number }>;
    /** Reads the path of a call about an evacuation; nothing where it is another path. */
    evacuation: (path: string) => EvacuationCall | undefined;
  };
}
