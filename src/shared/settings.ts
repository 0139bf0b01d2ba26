import convict from 'convict';
import { Either, Left, Right } from 'purify-ts';
import { readFileSync } from 'node:fs';
import { address, addresses, ipOrNone, positive, share } from './formats';
import { guard } from './lib';

/** What a process is told at its start. */
export interface Settings {
  name: string;
  zone: string;
  wire: string;
  http: string;
  bind: string;
  seeds: string[];
  founders: string[];
  data: string;
  platform: string;
  changeBoundMs: number;
  leavingBoundMs: number;
  weightsBoundMs: number;
  secondTryShare: number;
  onceKeepMs: number;
  indexMostParts: number;
  bodyMostBytes: number;
  placeBy: 'index' | 'affinity';
}

/** Times that follow from the bounds; every constant is a ratio to one. */
export interface Bounds {
  lease: number;
  leaseHeld: number;
  renew: number;
  ask: number;
  dial: number;
  pause: number;
  platform: number;
  effect: number;
  weightsStop: number;
  query: number;
  status: number;
  feedWait: number;
  circuit: number;
  join: number;
  drain: number;
  orderFresh: number;
  leavingCut: number;
}

/** Derives the times from the bounds. */
export function boundsOf(s: Settings): Bounds {
  const lease = s.changeBoundMs * 0.7;
  return {
    lease,
    leaseHeld: lease * 1.1,
    renew: lease * 0.2,
    ask: s.changeBoundMs * 0.35,
    dial: s.changeBoundMs * 0.2,
    pause: s.changeBoundMs * 0.1,
    platform: s.leavingBoundMs * 0.12,
    effect: s.changeBoundMs * 0.95,
    weightsStop: s.weightsBoundMs * 0.75,
    query: s.changeBoundMs * 0.025,
    status: s.leavingBoundMs * 0.1,
    feedWait: s.leavingBoundMs * 3,
    circuit: s.leavingBoundMs * 0.5,
    join: s.changeBoundMs * 0.5,
    drain: s.weightsBoundMs * 0.8,
    orderFresh: lease * 0.2,
    leavingCut: s.leavingBoundMs * 0.4,
  };
}

const SHAPE = {
  name: { doc: 'this process by name', format: String, default: '' },
  zone: { doc: 'the zone it stands in', format: String, default: 'zone-a' },
  wire: { doc: 'where it listens for our own processes', format: address, default: '' },
  http: { doc: 'where it listens for HTTP', format: address, default: '' },
  bind: { doc: 'the IP number it listens at and dials from, where it is another than the one it tells', format: ipOrNone, default: '' },
  seeds: { doc: 'addresses of processes first asked for peers', format: addresses, default: [] as string[] },
  founders: { doc: 'controllers that found a blank fleet; the seeds where left out', format: addresses, default: [] as string[] },
  data: { doc: 'the data folder', format: String, default: 'data' },
  platform: { doc: 'where the platform lists engines', format: address, default: '' },
  changeBoundMs: { doc: 'an acknowledged change takes effect within this', format: positive, default: 2000 },
  leavingBoundMs: { doc: 'a leaving engine gets no new work after this', format: positive, default: 3000 },
  weightsBoundMs: { doc: 'old weights serve no fresh request after this', format: positive, default: 12000 },
  secondTryShare: { doc: 'second tries as a share of a service\'s requests', format: share, default: 0.18 },
  onceKeepMs: { doc: 'idempotency keys are kept at least this long', format: positive, default: 600000 },
  indexMostParts: { doc: 'parts kept in the trees at the most', format: positive, default: 2000000 },
  placeBy: { doc: 'place by the index, or by affinity only', format: ['index', 'affinity'], default: 'index' },
  bodyMostBytes: { doc: 'the largest body taken', format: positive, default: 4194304 },
};

/** The names and texts of all settings fields, for flags and help. */
export function settingsFields(): { name: string; doc: string; list: boolean; number: boolean }[] {
  function one([name, f]: [string, { doc: string; default: unknown }]): { name: string; doc: string; list: boolean; number: boolean } {
    return { name, doc: f.doc, list: Array.isArray(f.default), number: typeof f.default === 'number' };
  }
  return Object.entries(SHAPE).map(one);
}

/** Reads a settings from a file and flags; flags win; every fault is listed. */
export function readSettings(file: string | undefined, flags: Record<string, unknown>, need: string[]): Either<string[], Settings> {
  const c = convict(SHAPE as never);
  const faults: string[] = [];
  if (file !== undefined) {
    const o = guard('read startup', file, read);
    function read(): unknown {
      return JSON.parse(readFileSync(file!, 'utf8'));
    }
    if (o.isLeft()) return Left([`${file}: ${(o.extract() as { why: string }).why}`]);
    const v = o.extract();
    if (typeof v !== 'object' || v === null || Array.isArray(v)) return Left([`${file}: must hold an object`]);
    c.load(v as never);
  }
  c.load(flags as never);
  const checked = guard('check startup', file ?? 'flags', check);
  function check(): unknown {
    return c.validate({ allowed: 'strict' });
  }
  if (checked.isLeft()) faults.push(...(checked.extract() as { why: string }).why.split('\n'));
  const s = c.getProperties() as unknown as Settings;
  for (const n of need) {
    const v = s[n as keyof Settings];
    if (v === '' || (Array.isArray(v) && v.length === 0)) faults.push(`${n}: is needed`);
  }
  if (s.founders.length === 0) s.founders = s.seeds;
  return faults.length > 0 ? Left(faults) : Right(s);
}
