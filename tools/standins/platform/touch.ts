import {
  Book,
  ConfigDoc,
  ConfigSent,
  Leaving,
  routeOf,
  Run,
  servicesOf,
  tenantOf,
  Try,
} from './book';
import { Guarantees } from './ground';

/** Looks things up in a book, once for all rules. */
export interface Lookup {
  book: Book;
  bounds: Guarantees;
  runsById: Map<string, Run[]>;
  runsBySeal: Map<string, Run>;
  /** Valid configurations that were not refused, oldest first. */
  possible: ConfigSent[];
  /** Whether a trouble lay on one of these in the time. */
  troubled: (who: readonly string[], from: number, to: number) => boolean;
  /** Whether a machine is in touch. */
  inTouch: (ip: string, at: number) => boolean;
  /** The configurations that may rule a request sent then. */
  ruling: (sentAt: number) => ConfigDoc[];
}

/** What a request's handling shows about the configuration in force. */
export interface Handling {
  t: Try;
  run?: Run;
}

/** Whether a configuration permits that a request was handled so. */
export function permits(doc: ConfigDoc, { t, run }: Handling): boolean {
  const r = routeOf(doc, t.host, t.target.split('?')[0]);
  const open = r !== undefined && (r.public || doc.tenants.length === 0);
  const holder = tenantOf(doc, t.key);
  if (run)
    return r !== undefined && servicesOf(r).includes(run.service) && (open || holder !== undefined);
  if (t.status === 404) return r === undefined;
  if (t.status === 401 || t.status === 403) return !open && holder === undefined;
  return true;
}

/** Whether a request, as it was sent, is proper under a configuration. */
export function allows(doc: ConfigDoc, t: Try): boolean {
  const r = routeOf(doc, t.host, t.target.split('?')[0]);
  return (
    r !== undefined && (r.public || doc.tenants.length === 0 || tenantOf(doc, t.key) !== undefined)
  );
}

/** Prepares a book for its judging. */
export function makeLookup(book: Book, bounds: Guarantees): Lookup {
  const runsById = new Map<string, Run[]>();
  const runsBySeal = new Map<string, Run>();
  for (const r of book.runs) {
    runsById.set(r.id, [...(runsById.get(r.id) ?? []), r]);
    runsBySeal.set(r.seal, r);
  }
  function mayBe(c: ConfigSent): boolean {
    return c.valid && c.outcome !== 'refused';
  }
  function byRevision(a: ConfigSent, b: ConfigSent): number {
    return a.doc.revision - b.doc.revision;
  }
  const possible = book.configs.filter(mayBe).sort(byRevision);

  function troubled(who: readonly string[], from: number, to: number): boolean {
    for (const t of book.troubles)
      if (who.includes(t.who) && t.at <= to && t.until >= from) return true;
    return false;
  }
  function inTouch(ip: string, at: number): boolean {
    return !troubled([ip, 'core'], at - bounds.contactMs, at);
  }
  function ruling(sentAt: number): ConfigDoc[] {
    let least = -1;
    for (const c of possible)
      if (c.ackAt !== undefined && c.ackAt + bounds.configApplyMs < sentAt)
        least = Math.max(least, c.doc.revision);
    const out: ConfigDoc[] = [];
    for (const c of possible) if (c.doc.revision >= least) out.push(c.doc);
    return out;
  }
  return { book, bounds, runsById, runsBySeal, possible, troubled, inTouch, ruling };
}

/** When the list first showed each leaving engine. */
export function leavingBy(book: Book): Map<string, Leaving> {
  const out = new Map<string, Leaving>();
  for (const l of book.leaving) if (!out.has(l.instance)) out.set(l.instance, l);
  return out;
}
