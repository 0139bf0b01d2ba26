import { ConfigDoc, Try } from './book';
import { ran, Say } from './answers';
import { allows, Handling, Lookup, permits } from './touch';

/** Judges how the fleet as a whole goes by the operator's word: CONFIG, LOST, DENIED, ACKS. */
export function judgeConduct(l: Lookup, say: Say): void {
  changes(l, say);
  const handled = handlings(l);
  overdue(l, handled, say);
  goesBack(l, handled, say);
  readBack(l, say);
  cuts(l, say);
  keptCuts(l, say);
  denied(l, say);
}

function changes(l: Lookup, say: Say): void {
  const on = new Map<number, number>();
  let newest = 0;
  for (const c of l.book.configs) {
    if (c.outcome === 'acked' && !c.valid)
      say('CONFIG', `an invalid configuration ${c.doc.revision} was acknowledged`);
    const other = on.get(c.base);
    if (c.outcome === 'acked' && other !== undefined && other !== c.doc.revision)
      say('CONFIG', `both ${other} and ${c.doc.revision} were acknowledged on top of ${c.base}`);
    if (c.outcome === 'acked') on.set(c.base, c.doc.revision);
    const took = (c.ackAt ?? Infinity) - c.at;
    const late =
      c.valid &&
      c.base === newest &&
      c.outcome !== 'refused' &&
      took > l.bounds.ackMs + 3 * c.doc.routes.length;
    if (
      late &&
      !l.troubled(
        ['core'],
        c.at - l.bounds.contactMs,
        Math.min(c.ackAt ?? Infinity, l.book.clock.now()),
      )
    )
      say('ACKS', `${c.doc.revision} was acknowledged after ${Math.round(took)} ms`);
    if (c.outcome === 'acked') newest = Math.max(newest, c.doc.revision);
  }
}

/** What each request's handling shows. */
function handlings(l: Lookup): Handling[] {
  const out: Handling[] = [];
  for (const t of l.book.tries.values()) {
    const runs = (l.runsById.get(t.id) ?? []).filter(ran);
    for (const run of runs) out.push({ t, run });
    if (runs.length === 0 && (t.status === 401 || t.status === 403 || t.status === 404))
      out.push({ t });
  }
  return out;
}

function shown(h: Handling): string {
  return h.run ? `${h.run.service} ran it` : `answered ${h.t.status}`;
}

function overdue(l: Lookup, handled: readonly Handling[], say: Say): void {
  for (const h of handled) {
    const docs = l.ruling(h.t.sentAt);
    if (docs.length === 0 || docs.some(ok)) continue;
    const older = l.possible.some(okSent);
    if (!older && l.book.configs.some(okSent))
      say('CONFIG', `${h.t.id}: ${shown(h)}, which only a refused configuration permits`);
    else if (l.inTouch(h.t.router, h.t.sentAt))
      say(
        'CONFIG',
        `${h.t.id}: ${shown(h)}, which only a configuration older than ${docs[0].revision} permits`,
      );
    function ok(doc: ConfigDoc): boolean {
      return permits(doc, h);
    }
    function okSent(c: { doc: ConfigDoc }): boolean {
      return permits(c.doc, h);
    }
  }
}

/** Within one life of a router, no request is handled as only an older version allows than one whose effect was seen before. */
function goesBack(l: Lookup, handled: readonly Handling[], say: Say): void {
  const lives = new Map<string, Handling[]>();
  for (const h of handled) {
    const k = `${h.t.router} ${h.t.life}`;
    lives.set(k, [...(lives.get(k) ?? []), h]);
  }
  for (const all of lives.values()) {
    const seen: { at: number; revision: number }[] = [];
    for (const h of all) {
      const least = revisions(l, h)[0];
      if (least !== undefined && h.run) seen.push({ at: h.run.beganAt, revision: least });
    }
    for (const h of all) {
      const most = revisions(l, h).at(-1);
      if (most === undefined) continue;
      const before = seen.find(isNewer);
      if (before)
        say(
          'CONFIG',
          `${h.t.id}: ${shown(h)}, which ${most} permits, ${Math.round(h.t.sentAt - before.at)} ms after ${before.revision} was in force there`,
        );
      function isNewer(s: { at: number; revision: number }): boolean {
        return s.revision > most! && h.t.sentAt > s.at + l.bounds.rollbackSlackMs;
      }
    }
  }
}

function revisions(l: Lookup, h: Handling): number[] {
  const out: number[] = [];
  for (const c of l.possible) if (permits(c.doc, h)) out.push(c.doc.revision);
  return out;
}

function readBack(l: Lookup, say: Say): void {
  if (!l.book.readBackAsked) return;
  let newest = 0;
  for (const c of l.book.configs)
    if (c.outcome === 'acked') newest = Math.max(newest, c.doc.revision);
  const doc = l.book.readBack;
  if (!doc) {
    if (newest > 0) say('LOST', "the configuration doesn't come when it is read back");
    return;
  }
  if (doc.revision < newest)
    say('LOST', `read back is ${doc.revision}, acknowledged was ${newest}`);
  const sent = l.book.configs.find(same);
  function same(c: { doc: ConfigDoc }): boolean {
    return c.doc.revision === doc!.revision && sorted(c.doc) === sorted(doc);
  }
  if (!sent) say('CONFIG', `${doc.revision}, as it is read back, is not what was sent`);
  else if (sent.outcome === 'refused') say('CONFIG', `${doc.revision} was refused and is in force`);
}

/** A text that is the same for the same content. */
function sorted(v: unknown): string {
  if (Array.isArray(v)) return `[${v.map(sorted).join(',')}]`;
  if (typeof v !== 'object' || v === null) return JSON.stringify(v) ?? 'null';
  const o = v as Record<string, unknown>;
  const out: string[] = [];
  for (const k of Object.keys(o).sort()) if (o[k] !== undefined) out.push(`${k}:${sorted(o[k])}`);
  return `{${out.join(',')}}`;
}

/** What is sent to a machine within this of its SIGTERM may be cut in the last part of the grace. */
const TAKEN_EARLY_MS = 3000;
const LAST_PART = 5 / 6;

/** Requests that were read whole and then cut, around planned work and with no unplanned trouble. */
function cuts(l: Lookup, say: Say): void {
  for (const t of l.book.tries.values()) {
    if (t.end !== 'cut') continue;
    const work = l.book.troubles.findLast(planned);
    function planned(w: { who: string; at: number; planned: boolean }): boolean {
      return (
        w.planned &&
        w.who === t.router &&
        t.sentAt <= w.at + l.bounds.graceS * 1000 + 1000 &&
        t.endedAt >= w.at
      );
    }
    if (!work || l.book.troubles.some(unplanned)) continue;
    function unplanned(w: { at: number; until: number; planned: boolean }): boolean {
      return !w.planned && w.at <= t.endedAt && w.until >= t.sentAt - l.bounds.contactMs;
    }
    const runs = l.runsById.get(t.id) ?? [];
    if (t.endedAt - t.sentAt >= Math.min(t.deadlineMs, t.timeoutMs)) continue;
    const isEarly = t.sentAt <= work.at + TAKEN_EARLY_MS;
    if (runs.some(brokeOrSlow)) continue;
    function brokeOrSlow(r: { broke: boolean; endedAt?: number }): boolean {
      const lastPart = work!.at + l.bounds.graceS * 1000 * LAST_PART;
      return r.broke || (isEarly && (r.endedAt ?? Infinity) > lastPart);
    }
    const passed = l.book.arrivals.some(mine);
    function mine(a: { id: string }): boolean {
      return a.id === t.id;
    }
    if (passed || t.endedAt - t.writtenAt > l.bounds.lossSlackMs)
      say(
        'LOST',
        `${t.id}: read by ${t.router}, sent ${Math.round(t.sentAt - work.at)} ms after its SIGTERM and cut ${Math.round(t.endedAt - t.sentAt)} ms later`,
      );
  }
}

/** So many requests of kept connections may a machine in touch pass on and then leave without an answer. */
const MOST_KEPT_CUTS = 3;

/** Requests of kept connections that were passed on to sound engines and ended without an answer, at any time. */
function keptCuts(l: Lookup, say: Say): void {
  const byRouter = new Map<string, Try[]>();
  for (const t of l.book.tries.values()) {
    if (!t.onKept || t.end !== 'cut' || t.status !== undefined) continue;
    const isTimeUp = t.endedAt - t.sentAt >= Math.min(t.deadlineMs, t.timeoutMs);
    if (isTimeUp || !l.inTouch(t.router, t.sentAt) || !l.inTouch(t.router, t.endedAt)) continue;
    if (isPassedToSound(l, t)) byRouter.set(t.router, [...(byRouter.get(t.router) ?? []), t]);
  }
  for (const [router, all] of byRouter)
    if (all.length > MOST_KEPT_CUTS)
      say('LOST', `${router}: ${all.length} requests of kept connections, such as ${all[0].id}`);
}

function isPassedToSound(l: Lookup, t: Try): boolean {
  return l.book.arrivals.some(isSound) && !(l.runsById.get(t.id) ?? []).some(broke);
  function isSound(a: { id: string; instance: string }): boolean {
    return a.id === t.id && !l.troubled([a.instance], t.sentAt - l.bounds.contactMs, t.endedAt);
  }
  function broke(r: { broke: boolean }): boolean {
    return r.broke;
  }
}

/** Proper requests that were ended with a 3xx or 4xx of our own. */
function denied(l: Lookup, say: Say): void {
  let all = 0;
  const bad: Try[] = [];
  for (const t of l.book.tries.values()) {
    if (t.probe) continue;
    all++;
    if (
      t.status === undefined ||
      t.status < 300 ||
      t.status >= 500 ||
      t.status === 408 ||
      t.status === 421 ||
      t.status === 429
    )
      continue;
    const docs = l.ruling(t.sentAt);
    if (
      docs.length > 0 &&
      docs.every(proper) &&
      (l.runsById.get(t.id) ?? []).length === 0 &&
      l.inTouch(t.router, t.sentAt)
    )
      bad.push(t);
    function proper(doc: ConfigDoc): boolean {
      return allows(doc, t);
    }
  }
  if (bad.length > 5 + all / 500)
    say(
      'DENIED',
      `${bad.length} of ${all} proper requests, such as ${bad[0].id}: ${bad[0].status}`,
    );
}
