import { Clock } from '../../../src/shared/ports/clock';
import { RandomSource } from '../../../src/shared/ports/random';
import { Book } from './book';
import { Keeper } from './cache';
import { Door, DoorWays, Exchange, openDoor } from './serve';

/** The figures of the rules that the platform tells. Times are ms. */
export interface Guarantees {
  seedStalenessS: number;
  addressReuseS: number;
  contactMs: number;
  ackMs: number;
  catchUpS: number;
  drainMs: number;
  graceS: number;
  lossSlackMs: number;
  configApplyMs: number;
  rollbackSlackMs: number;
  maxSkewMs: number;
  revocationStrict: boolean;
  revokeMs: number;
  retryBudgetRatio: number;
  retryWindowS: number;
  retryBudgetSlack: number;
  warmupOvershoot: number;
  warmupSlack: number;
  evacuateMs: number;
  recoveryS: number;
  mergeMs: number;
  transitMs: number;
  fencing: boolean;
  leaseMs: number;
  thawSlackMs: number;
  versionMs: number;
}

/** Something that keeps parts and can be fetched from. */
export interface Source {
  keeper: Keeper;
  zone: string;
  /** Whether it answers. */
  alive: () => boolean;
}

/** What all stand-ins of one day share. */
export interface Ground {
  clock: Clock;
  dice: RandomSource;
  book: Book;
  bounds: Guarantees;
  /** Who can be fetched from, by address. */
  sources: Map<string, Source>;
  /** The versions that were named, by model. */
  named: Map<string, number[]>;
  /** Engines that load weights now. */
  loading: { count: number };
  /** How much slower links between engines are than they should be. */
  links: { slow: number };
  open: (at: string, ways: DoorWays, take: (x: Exchange) => void) => Promise<Door>;
}

/** Makes the ground of a day on real sockets. */
export function makeGround(
  clock: Clock,
  dice: RandomSource,
  book: Book,
  bounds: Guarantees,
): Ground {
  return {
    clock,
    dice,
    book,
    bounds,
    sources: new Map(),
    named: new Map(),
    loading: { count: 0 },
    links: { slow: 1 },
    open: openDoor,
  };
}

/** The newest version that was named of a model. */
export function newest(ground: Ground, model: string): number {
  return Math.max(1, ...(ground.named.get(model) ?? []));
}

/** Reads `ID:TOKENS` by commas. */
export function partsOf(text: string | undefined): { id: string; tokens: number }[] {
  const out: { id: string; tokens: number }[] = [];
  for (const one of (text ?? '').split(',')) {
    const m = /^([0-9a-f]+):(\d+)$/.exec(one.trim());
    if (m) out.push({ id: m[1], tokens: Number(m[2]) });
  }
  return out;
}

/** Header names, in lower case as Node reads them. */
export const H = {
  id: 'plumhollow-attempt-id',
  deadline: 'plumhollow-deadline-ms',
  instance: 'plumhollow-expect-instance',
  told: 'plumhollow-instance-id',
  warmup: 'plumhollow-warmup-ms',
  expect: 'plumhollow-expect-version',
  versions: 'plumhollow-weight-versions',
  tenant: 'plumhollow-tenant',
  model: 'plumhollow-model',
  tokens: 'plumhollow-token-count',
  parts: 'plumhollow-prompt-prefix',
  urgency: 'plumhollow-request-priority',
  seal: 'plumhollow-response-seal',
  notRun: 'plumhollow-not-executed',
  salt: 'plumhollow-cache-salt',
  source: 'plumhollow-cache-source',
  target: 'plumhollow-cache-target',
  base: 'plumhollow-base-version',
  wait: 'wait-ms',
  last: 'last-event-id',
} as const;

/** How a header is written on the wire. */
export function wireName(name: string): string {
  function up(c: string): string {
    return c.toUpperCase();
  }
  return name.replace(/(^|-)[a-z]/g, up);
}
