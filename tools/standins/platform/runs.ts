import { Arrival, Run, routeOf, servicesOf, tenantOf, Try } from './book';
import { ran, Say } from './answers';
import { leavingBy, Lookup, permits } from './touch';

/** Judges what engines were given: UNASKED, TWICE, ROUTE, DRAIN, BUDGET, STALE, WALL, VERSION, ONE. */
export function judgeRuns(l: Lookup, say: Say): void {
  unasked(l, say);
  for (const [id, runs] of l.runsById) {
    const t = l.book.tries.get(id);
    if (t && !t.repeatable && runs.filter(ran).length > 1)
      say('TWICE', `${id}: ${runs.filter(ran).length} runs`);
  }
  routed(l, say);
  drained(l, say);
  budgets(l, say);
  for (const r of l.book.runs) {
    memory(l, r, say);
    versions(l, r, say);
  }
  orders(l, say);
}

function unasked(l: Lookup, say: Say): void {
  for (const a of l.book.arrivals) {
    if (a.turned !== undefined) continue;
    const t = l.book.tries.get(a.id);
    if (!t) {
      say('UNASKED', `${a.id}: no client sent it`);
      continue;
    }
    if (a.method !== t.method || a.target !== t.target || a.body !== t.body)
      say('UNASKED', `${a.id}: it was changed on its way`);
    if (a.keyShown) say('UNASKED', `${a.id}: the client's key was passed on`);
    if (!tenants(l, t).has(a.tenant))
      say('UNASKED', `${a.id}: ${a.tenant ?? 'no tenant'} doesn't hold the key`);
  }
}

/** The tenants that a request may run as, under any configuration that was sent. */
function tenants(l: Lookup, t: Try): Set<string | undefined> {
  const out = new Set<string | undefined>();
  for (const c of l.book.configs) {
    const r = routeOf(c.doc, t.host, t.target.split('?')[0]);
    const holder = tenantOf(c.doc, t.key)?.name;
    if (holder !== undefined) out.add(holder);
    if (r?.public || c.doc.tenants.length === 0) out.add(undefined);
  }
  return out;
}

function routed(l: Lookup, say: Say): void {
  for (const r of l.book.runs) {
    const t = l.book.tries.get(r.id);
    if (!t || r.undone) continue;
    function allowed(c: { doc: Parameters<typeof permits>[0] }): boolean {
      return permits(c.doc, { t: t!, run: r });
    }
    if (!l.book.configs.some(allowed))
      say(
        'ROUTE',
        `${r.id}: ${r.service} ran it, under ${t.key === undefined ? 'no key' : 'this key'}, and no configuration allows that`,
      );
  }
}

function drained(l: Lookup, say: Say): void {
  const by = leavingBy(l.book);
  for (const a of l.book.arrivals) {
    const left = by.get(a.instance);
    if (!left || a.turned === 421 || a.at <= left.at + l.bounds.drainMs) continue;
    if (!l.inTouch(a.from, a.at) || l.troubled(['list'], left.at, a.at)) continue;
    say(
      'DRAIN',
      `${a.id}: reached ${a.instance} ${Math.round(a.at - left.at)} ms after the list showed that it leaves`,
    );
  }
}

function serviceNames(l: Lookup, t: Try): Set<string> {
  const out = new Set<string>();
  for (const c of l.book.configs) {
    const r = routeOf(c.doc, t.host, t.target.split('?')[0]);
    if (r) for (const s of servicesOf(r)) out.add(s);
  }
  return out;
}

function budgets(l: Lookup, say: Say): void {
  const { retryWindowS, retryBudgetRatio, retryBudgetSlack } = l.bounds;
  const span = retryWindowS * 1000;
  const sent = new Map<string, number[]>();
  for (const t of l.book.tries.values())
    for (const s of serviceNames(l, t)) sent.set(s, [...(sent.get(s) ?? []), t.sentAt]);
  const extra = new Map<string, number[]>();
  const firsts = new Set<string>();
  for (const a of [...l.book.arrivals].sort(byTime)) {
    const k = `${a.service} ${a.id}`;
    if (firsts.has(k)) extra.set(a.service, [...(extra.get(a.service) ?? []), a.at]);
    firsts.add(k);
  }
  for (const [service, times] of extra) {
    const asked = sent.get(service) ?? [];
    for (const to of times) {
      const more = within(times, to - span, to);
      const n = Math.max(
        within(asked, to - span, to),
        within(asked, to - 1.5 * span, to - 0.5 * span),
        within(asked, to - 2 * span, to - span),
      );
      if (more <= retryBudgetRatio * n + retryBudgetSlack) continue;
      say('BUDGET', `${service}: ${more} further arrivals for ${n} requests in ${retryWindowS} s`);
      break;
    }
  }
}

function byTime(a: Arrival, b: Arrival): number {
  return a.at - b.at;
}

function within(times: readonly number[], from: number, to: number): number {
  let n = 0;
  for (const t of times) if (t > from && t <= to) n++;
  return n;
}

function memory(l: Lookup, r: Run, say: Say): void {
  const t = l.book.tries.get(r.id);
  for (const u of r.used) {
    if (u.version !== r.version)
      say('STALE', `${r.id}: version ${r.version} on memory of version ${u.version}`);
    if (u.tenant === r.tenant || !t) continue;
    const docs = l.ruling(t.sentAt);
    if (docs.length > 0 && docs.every(walled))
      say('WALL', `${r.id}: ${r.tenant} on memory of ${u.tenant}`);
    function walled(doc: (typeof docs)[number]): boolean {
      for (const x of doc.tenants)
        if (x.isolated && (x.name === u.tenant || x.name === r.tenant)) return true;
      return false;
    }
  }
}

function versions(l: Lookup, r: Run, say: Say): void {
  if (r.startedAt === undefined || r.undone) return;
  for (const v of l.book.versions) {
    if (
      v.model !== r.model ||
      v.ackAt === undefined ||
      v.revision <= r.version ||
      r.startedAt <= v.ackAt + l.bounds.versionMs
    )
      continue;
    if (
      !l.inTouch(r.from, r.startedAt) ||
      l.troubled(['core', 'links', r.from, r.instance], v.ackAt, r.startedAt)
    )
      continue;
    return say(
      'VERSION',
      `${r.id}: began on version ${r.version} ${Math.round(r.startedAt - v.ackAt)} ms after ${v.revision} was acknowledged`,
    );
  }
}

function orders(l: Lookup, say: Say): void {
  const by = new Map<string, Lookup['book']['orders']>();
  for (const o of l.book.orders) by.set(o.instance, [...(by.get(o.instance) ?? []), o]);
  for (const [instance, all] of by) {
    const holders = new Map<number, string>();
    let top = -Infinity;
    let last: (typeof all)[number] | undefined;
    for (const o of all) {
      if (o.status === 421 || thawed(l, o.from, o.at)) continue;
      const had = holders.get(o.fence);
      if (had !== undefined && had !== o.holder)
        say('ONE', `${instance}: ${had} and ${o.holder} share the fence ${o.fence}`);
      holders.set(o.fence, o.holder);
      if (!l.bounds.fencing && o.fence < top)
        say('ONE', `${instance}: the fence ${o.fence} after ${top}`);
      top = Math.max(top, o.fence);
      if (last && last.holder !== o.holder && o.at - last.at < l.bounds.leaseMs)
        say(
          'ONE',
          `${instance}: ${o.holder} ${Math.round(o.at - last.at)} ms after ${last.holder}`,
        );
      last = o;
    }
  }
}

function thawed(l: Lookup, ip: string, at: number): boolean {
  for (const t of l.book.troubles)
    if (
      t.who === ip &&
      (t.kind === 'freeze' || t.kind === 'cut') &&
      t.until <= at &&
      at - t.until <= l.bounds.thawSlackMs
    )
      return true;
  return false;
}
