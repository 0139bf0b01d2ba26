import { ConfigDoc, mayRepeat, RouteDoc, routeOf, tenantOf, Try } from './book';
import { Channel, Exchanged, openChannel } from './channel';
import { EdgeNode, Entry } from './entry';
import { Ground, H, wireName } from './ground';

/** One kind of request that clients make. */
export interface Traffic {
  /** The name of its route. */
  route: string;
  perS: number;
  sharedTokens: number;
  ownTokens: number;
  outTokens: number;
  deadlineMs: number;
  /** Further tries of a client's own. */
  furtherTries: number;
  model?: string;
}

/** How clients behave. */
export interface ClientWays {
  traffic: Traffic[];
  zones: string[];
  /** How many clients call; each keeps its connections. */
  clients: number;
  /** The configuration that clients go by. */
  config: () => ConfigDoc;
  /** The life of a router's process. */
  lifeOf: (router: string) => number;
  forMs: number;
  /** How long every eighth client rests after each read of its connections; 0: not at all. */
  restMs: number;
}

/** One request to make, whatever tries it takes. */
interface Wanted {
  route: RouteDoc;
  traffic: Traffic;
  client: string;
  zone: string;
  key?: string;
  tenant?: string;
  parts: string;
}

/** All clients of a day. */
export interface Clients {
  /** Calls at the rates for as long as said. */
  run: () => Promise<void>;
  /** Asks a node straight, to see which configuration is in force there. */
  probe: (node: EdgeNode, host: string, target: string, key?: string) => Promise<Try>;
  close: () => void;
}

const DIAL_MS = 1000;
/** One client in so many reads slowly, where any do. */
const SLOW_READERS = 8;
const PROMISES = new Set([429, 503, 408, 421]);
const FINAL = new Set([400, 401, 404, 413, 431]);

function nothing(): void {
  // does nothing on purpose
}

/** Makes the clients; nothing is called until they run. */
export function makeClients(ground: Ground, entry: Entry, ways: ClientWays): Clients {
  const { clock, dice, book } = ground;
  const pools = new Map<string, Channel[]>();
  let count = 0;

  function hex(n: number): string {
    let out = '';
    while (out.length < n) out += Math.floor(dice.next() * 16).toString(16);
    return out;
  }
  function oneOf<T>(xs: readonly T[]): T {
    return xs[Math.floor(dice.next() * xs.length)];
  }

  function want(t: Traffic): Wanted | undefined {
    const doc = ways.config();
    function named(r: RouteDoc): boolean {
      return r.name === t.route;
    }
    const route = doc.routes.find(named);
    if (!route) return undefined;
    const tenant = route.public || doc.tenants.length === 0 ? undefined : oneOf(doc.tenants);
    const key = tenant ? oneOf(tenant.apiKeys) : undefined;
    const n = Math.floor(dice.next() * ways.clients);
    const base = Math.floor(t.sharedTokens / 3);
    const name = tenant?.name ?? 'all';
    const shared =
      base === 0
        ? []
        : [
            `${codeOf(`${name} ${t.route} a`)}:${base}`,
            `${codeOf(`${name} ${t.route} b ${n % 3}`)}:${t.sharedTokens - base}`,
          ];
    const parts = [...shared, `${hex(8)}:${t.ownTokens}`].join(',');
    return {
      route,
      traffic: t,
      client: `client-${n}`,
      zone: ways.zones[n % ways.zones.length],
      key,
      tenant: tenant?.name,
      parts,
    };
  }

  function stray(router: string): (bytes: string) => void {
    function note(bytes: string): void {
      book.strays.push({ at: clock.now(), router, bytes });
    }
    return note;
  }

  function rests(client: string): number {
    return Number(client.split('-')[1]) % SLOW_READERS === 0 ? ways.restMs : 0;
  }

  async function channelTo(
    node: EdgeNode,
    client: string,
    anew: boolean,
  ): Promise<{ channel?: Channel; isKept: boolean }> {
    const pool = pools.get(client) ?? [];
    pools.set(client, pool);
    for (let i = pool.length - 1; i >= 0 && !anew; i--) {
      const c = pool[i];
      if (c.usable()) {
        pool.splice(i, 1);
        return { channel: c, isKept: true };
      }
    }
    const channel = await openChannel(clock, node.frontend, DIAL_MS, stray(node.ip), rests(client));
    return { channel, isKept: false };
  }

  function begin(
    w: {
      route?: RouteDoc;
      host: string;
      method: string;
      target: string;
      body: string;
      key?: string;
      tenant?: string;
    },
    node: EdgeNode,
    request: number,
    nth: number,
    deadlineMs: number,
    probe: boolean,
  ): Try {
    const r = w.route;
    const t: Try = {
      id: hex(16),
      request,
      nth,
      router: node.ip,
      life: ways.lifeOf(node.ip),
      route: r?.name ?? '',
      kind: r?.routeType ?? 'safe',
      repeatable: r ? mayRepeat(r) : true,
      host: w.host,
      method: w.method,
      target: w.target,
      body: w.body,
      key: w.key,
      tenant: w.tenant,
      probe,
      sentAt: clock.now(),
      writtenAt: clock.now(),
      deadlineMs,
      timeoutMs: r?.timeoutMs ?? 10000,
      aimMs: r?.targetLatencyMs ?? 1000,
      gapMs: r?.targetGapMs ?? 1000,
      answer: '',
      times: [],
      endedAt: 0,
    };
    book.tries.set(t.id, t);
    return t;
  }

  function wordOf(t: Try, more: Record<string, string>): string {
    const lines = [
      `${t.method} ${t.target} HTTP/1.1`,
      `Host: ${t.host}`,
      `${wireName(H.id)}: ${t.id}`,
      `${wireName(H.deadline)}: ${Math.round(t.deadlineMs)}`,
    ];
    for (const [k, v] of Object.entries(more)) lines.push(`${k}: ${v}`);
    if (t.key !== undefined) lines.push(`Authorization: Token ${t.key}`);
    if (t.lastEvent !== undefined) lines.push(`Last-Event-Id: ${t.lastEvent}`);
    if (t.body === '' && t.method === 'GET') return lines.join('\r\n') + '\r\n\r\n';
    if (dice.next() < 0.2 && t.body !== '')
      return (
        lines.join('\r\n') +
        `\r\nTransfer-Encoding: chunked\r\n\r\n${t.body.length.toString(16)}\r\n${t.body}\r\n0\r\n\r\n`
      );
    return lines.join('\r\n') + `\r\nContent-Length: ${t.body.length}\r\n\r\n${t.body}`;
  }

  async function send(
    t: Try,
    channel: Channel | undefined,
    more: Record<string, string>,
    quietMs: number,
  ): Promise<Exchanged> {
    let seen = 0;
    function came(piece: string): void {
      t.answer += piece;
      if (t.kind !== 'streaming') return;
      const now = clock.now();
      for (;;) {
        const i = t.answer.indexOf('\n\n', seen);
        if (i < 0) return;
        seen = i + 2;
        t.times.push(now);
      }
    }
    function gave(head: { status: number; headers: Record<string, string> }): void {
      t.status = head.status;
      t.answerId = head.headers[H.id];
      t.seal = head.headers[H.seal];
      t.encoding = head.headers['content-encoding'];
    }
    t.sentAt = clock.now();
    t.writtenAt = t.sentAt;
    const r: Exchanged = channel
      ? await channel.exchange(wordOf(t, more), { withinMs: t.deadlineMs, quietMs, came, gave })
      : { end: 'no-connection', body: '', wrote: false, open: false };
    t.end = r.end;
    t.endedAt = clock.now();
    return r;
  }

  /** One request: its first try and the further ones, all inside its deadline. */
  async function call(w: Wanted): Promise<void> {
    const request = ++count;
    const { route, traffic } = w;
    const endAt = clock.now() + traffic.deadlineMs;
    const quietMs =
      route.routeType === 'streaming'
        ? Math.max(2000, 4 * route.targetLatencyMs, 8 * (route.targetGapMs ?? 0))
        : traffic.deadlineMs;
    const more: Record<string, string> = {};
    if (traffic.model !== undefined) {
      more[wireName(H.model)] = traffic.model;
      more[wireName(H.tokens)] = `${traffic.sharedTokens + traffic.ownTokens},${traffic.outTokens}`;
      more[wireName(H.parts)] = w.parts;
    }
    let lastEvent: number | undefined;
    for (let nth = 0; nth <= traffic.furtherTries; nth++) {
      const left = endAt - clock.now();
      if (left < 50) return;
      const node = entry.nodeFor(w.client, w.zone, nth);
      const { channel, isKept } = await channelTo(node, w.client, nth > 0);
      const real = channel ? nodeAt(channel.at) : node;
      const t = begin(
        {
          route,
          host: route.hostname,
          method: 'POST',
          target: `${route.pathPrefix}${hex(2)}`,
          body: `{"ask":"${hex(8)}"}`,
          key: w.key,
          tenant: w.tenant,
        },
        real,
        request,
        nth,
        left,
        false,
      );
      t.lastEvent = lastEvent;
      t.onKept = isKept;
      const r = await send(t, channel, more, quietMs);
      if (channel?.usable()) pools.get(w.client)!.push(channel);
      else channel?.close();
      if (t.end === 'whole' && t.status !== undefined && (t.status < 300 || FINAL.has(t.status)))
        return;
      const events = [...t.answer.matchAll(/^id: (\d+)$/gm)];
      if (route.resumable && events.length > 0 && t.times.length > 0)
        lastEvent = Number(events[t.times.length - 1][1]);
      const promised = t.end === 'whole' && t.status !== undefined && PROMISES.has(t.status);
      if (!t.repeatable && !promised && r.wrote) return;
      const asked = Number(r.head?.headers['retry-after'] ?? 0) * 1000;
      const third = (endAt - clock.now()) / 3;
      if (nth < traffic.furtherTries)
        await clock.sleep(Math.max(0, Math.min(asked > 0 ? asked : 100, third)));
    }
  }

  function nodeAt(at: string): EdgeNode {
    function is(n: EdgeNode): boolean {
      return n.frontend === at;
    }
    return entry.nodes.find(is)!;
  }

  async function run(): Promise<void> {
    const end = clock.now() + ways.forMs;
    const calls: Promise<void>[] = [];
    async function flow(t: Traffic): Promise<void> {
      let next = clock.now();
      for (;;) {
        next += (-Math.log(1 - dice.next()) * 1000) / t.perS;
        if (next >= end) return;
        await clock.sleep(Math.max(0, next - clock.now()));
        const w = want(t);
        if (w) calls.push(call(w));
      }
    }
    await Promise.all(ways.traffic.map(flow));
    await Promise.all(calls);
  }

  async function probe(node: EdgeNode, host: string, target: string, key?: string): Promise<Try> {
    const doc = ways.config();
    const route = routeOf(doc, host, target);
    const t = begin(
      { route, host, method: 'POST', target, body: 'probe', key, tenant: tenantOf(doc, key)?.name },
      node,
      ++count,
      0,
      3000,
      true,
    );
    const channel = await openChannel(clock, node.frontend, DIAL_MS, nothing);
    await send(
      t,
      channel,
      {
        [wireName(H.tokens)]: '20,2',
        [wireName(H.parts)]: `${hex(8)}:20`,
        [wireName(H.model)]: oneModel(),
      },
      3000,
    );
    channel?.close();
    return t;
  }
  function oneModel(): string {
    for (const t of ways.traffic) if (t.model !== undefined) return t.model;
    return '';
  }

  function close(): void {
    for (const p of pools.values()) for (const c of p) c.close();
  }
  return { run, probe, close };
}

/** A short code in hex that stands for a text. */
function codeOf(text: string): string {
  let h = 2166136261;
  for (let i = 0; i < text.length; i++) h = Math.imul(h ^ text.charCodeAt(i), 16777619) >>> 0;
  return h.toString(16).padStart(8, '0');
}
