/** Where a change stands: epoch first, then number. */
export interface Version {
  epoch: number;
  by: string;
  number: number;
}

/** A value of a control key at its place. */
export interface VersionedValue extends Version {
  key: string;
  value: unknown;
}

/** Orders places; positive when a is later. */
export function compareVersions(a: Version, b: Version): number {
  const e = compareEpochs(a, b);
  return e !== 0 ? e : a.number - b.number;
}

/** Orders epochs; ties go by name. */
export function compareEpochs(
  a: { epoch: number; by: string },
  b: { epoch: number; by: string },
): number {
  if (a.epoch !== b.epoch) return a.epoch - b.epoch;
  if (a.by === b.by) return 0;
  return a.by > b.by ? 1 : -1;
}

/** A voter: a disk, and where its controller is reached. */
export interface Voter {
  disk: string;
  at: string;
}

/** The voter set; while two sets are joint, both majorities are needed. */
export interface VoterSet {
  now: Voter[];
  next?: Voter[];
}

/** A process that holds a lease at the core. */
export interface Member {
  name: string;
  role: string;
  at: string;
  http: string;
  zone: string;
  life: string;
}

/** One engine as the platform lists it. */
export interface Engine {
  id: string;
  at: string;
  zone: string;
  model: string;
  weights: string;
  leaving: boolean;
  /** The pool it serves in, its batch, and how much longer it is slow from its start, in ms; where the platform tells them. */
  pool?: string;
  batch?: number;
  warmMs?: number;
  /** All its models with their weights; `model` and `weights` are the first. */
  models?: { name: string; weights: string }[];
}

/** A tenant: walled off, or in a named sharing group. */
export interface Tenant {
  id: string;
  sharing: 'walled' | 'group';
  group?: string;
}

/** What a desk needs of a service. */
export interface Service {
  id: string;
  tenant: string;
  model: string;
  urgency: 'high' | 'normal' | 'low';
  mayRepeat: boolean;
  deadlineMs: number;
  maxTokens: number;
  secondTries: number;
}

/** How a request that names no service finds one. */
export interface Rule {
  tenant: string;
  label: string;
  service: string;
}

/** A store of kept parts. */
export interface CacheStore {
  id: string;
  at: string;
  zone: string;
}

/** The whole of the operators' intents. */
export interface Intents {
  tenants: Tenant[];
  models: { id: string }[];
  services: Service[];
  rules: Rule[];
  cacheStores: CacheStore[];
}

/** The names of control keys. */
export const CONTROL_KEYS = {
  voters: 'voters',
  intents: 'intents',
  engines: 'engines',
  tenantKeys: 'keys/',
  weights: 'weights/',
  deployment: 'deployment',
  duty: 'duty/',
} as const;

/** The committed value of the intents: the file, and what the system set from it. */
export interface IntentsValue {
  doc: Intents;
  salts: Record<string, string>;
  groups: Record<string, number>;
}

/** Sets salts from the file and what stood before; a group's salt changes when a member leaves it. */
export function deriveSalts(doc: Intents, before: IntentsValue | undefined): IntentsValue {
  const groups: Record<string, number> = { ...before?.groups };
  const salts: Record<string, string> = {};
  for (const old of before?.doc.tenants ?? []) {
    if (old.sharing !== 'group') continue;
    const now = doc.tenants.find(same);
    function same(t: Tenant): boolean {
      return t.id === old.id;
    }
    if (now?.sharing !== 'group' || now.group !== old.group)
      groups[old.group!] = (groups[old.group!] ?? 0) + 1;
  }
  for (const t of doc.tenants)
    salts[t.id] = t.sharing === 'walled' ? `w:${t.id}` : `g:${t.group}:${groups[t.group!] ?? 0}`;
  return { doc, salts, groups };
}

/** A majority of the voter set, and of the next one while two are joint. */
export function isQuorum(v: VoterSet, disks: ReadonlySet<string>): boolean {
  function has(x: Voter): boolean {
    return disks.has(x.disk);
  }
  function most(set: Voter[]): boolean {
    return set.filter(has).length * 2 > set.length;
  }
  return most(v.now) && (v.next === undefined || most(v.next));
}

/** Whether a disk votes, in either set. */
export function isVoter(v: VoterSet | undefined, disk: string): boolean {
  function mine(x: Voter): boolean {
    return x.disk === disk;
  }
  return v !== undefined && allVoters(v).some(mine);
}

/** The address of a node, a voter or an engine. */
export function addressOf(x: { at: string }): string {
  return x.at;
}

/** All voters of both sets, each disk once. */
export function allVoters(v: VoterSet): Voter[] {
  const m = new Map<string, Voter>();
  for (const x of [...v.now, ...(v.next ?? [])]) m.set(x.disk, x);
  return [...m.values()];
}
