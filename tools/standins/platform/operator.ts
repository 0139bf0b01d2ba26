import http from 'node:http';
import { ConfigDoc, ConfigSent, faultOf } from './book';
import { Ground, H, wireName } from './ground';
import { kept, splitAt } from './serve';

/** The stand-in operator. */
export interface Operator {
  /** Sends a whole configuration until there is a clear answer or the time is over. */
  replace: (doc: ConfigDoc, base: number, withinMs: number) => Promise<ConfigSent>;
  /** Sends a change of named items; `doc` is what it comes to. */
  update: (
    change: NamedChangeDoc,
    doc: ConfigDoc,
    base: number,
    withinMs: number,
  ) => Promise<ConfigSent>;
  /** Names new weights until that is taken. */
  nameVersion: (model: string, revision: number, withinMs: number) => Promise<boolean>;
  /** Reads the newest configuration back, again and again for the time. */
  readBack: (forMs: number) => Promise<ConfigDoc | undefined>;
  /** The control addresses that it picks from. */
  nodes: string[];
}

/** A change of named items, as it is sent. */
export interface NamedChangeDoc {
  revision: number;
  upsert?: Record<string, { name: string }[]>;
  remove?: Record<string, string[]>;
}

interface Answer {
  status: number;
  body: string;
  location?: string;
}

const CLEAR = new Set([400, 409, 412, 413, 422]);

/** One call, at one node. */
function callOnce(
  at: string,
  method: string,
  path: string,
  body: string | undefined,
  headers: Record<string, string>,
  withinMs: number,
): Promise<Answer> {
  const k = kept<Answer>();
  const failed = { status: 0, body: '' };
  function answered(res: http.IncomingMessage): void {
    let text = '';
    function data(b: Buffer): void {
      text += b.toString();
    }
    function end(): void {
      k.keep({ status: res.statusCode ?? 0, body: text, location: res.headers.location });
    }
    res.on('data', data);
    res.on('end', end);
    res.on('error', fail);
    res.on('close', fail);
  }
  function fail(): void {
    req.destroy();
    k.keep(failed);
  }
  const length =
    body === undefined
      ? {}
      : { 'Content-Type': 'application/json', 'Content-Length': String(Buffer.byteLength(body)) };
  const req = http.request(
    {
      ...splitAt(at),
      method,
      path,
      agent: false,
      headers: { ...length, ...headers },
      timeout: withinMs,
    },
    answered,
  );
  req.on('timeout', fail);
  req.on('error', fail);
  req.end(body);
  return k.promise;
}

/** Makes the operator. */
export function makeOperator(ground: Ground, nodes: string[]): Operator {
  const { clock, dice, book } = ground;

  /** Calls one node and follows it elsewhere twice. */
  async function follow(
    at: string,
    method: string,
    path: string,
    body: string | undefined,
    headers: Record<string, string>,
  ): Promise<Answer> {
    const withinMs = 1000 + (body?.length ?? 0) / 100;
    let a = await callOnce(at, method, path, body, headers, withinMs);
    for (let i = 0; i < 2 && a.status === 307 && a.location !== undefined; i++) {
      const to = new URL(a.location);
      a = await callOnce(to.host, method, to.pathname, body, headers, withinMs);
    }
    return a;
  }

  /** Calls node after node until the answer is clear. */
  async function call(
    method: string,
    path: string,
    body: string | undefined,
    headers: Record<string, string>,
    withinMs: number,
  ): Promise<Answer | undefined> {
    const end = clock.now() + withinMs;
    let pause = 50;
    let at = Math.floor(dice.next() * nodes.length);
    let odd = 0;
    while (clock.now() < end) {
      const a = await follow(nodes[at++ % nodes.length], method, path, body, headers);
      if ((a.status >= 200 && a.status < 300) || CLEAR.has(a.status)) return a;
      if (a.status >= 400 && a.status < 500 && a.status !== 408 && a.status !== 429 && ++odd >= 3)
        return a;
      await clock.sleep(pause * (0.5 + dice.next()));
      pause = Math.min(1000, pause * 2);
    }
    return undefined;
  }

  function settle(sent: ConfigSent, a: Answer | undefined): ConfigSent {
    if (!a) sent.outcome = 'unclear';
    else if (a.status === 200) {
      sent.outcome = 'acked';
      sent.ackAt = clock.now();
    } else sent.outcome = 'refused';
    return sent;
  }

  function note(doc: ConfigDoc, base: number): ConfigSent {
    const sent: ConfigSent = {
      doc,
      base,
      at: clock.now(),
      valid: faultOf(doc) === undefined && doc.revision > base,
      outcome: 'open',
    };
    book.configs.push(sent);
    return sent;
  }

  async function replace(doc: ConfigDoc, base: number, withinMs: number): Promise<ConfigSent> {
    const sent = note(doc, base);
    return settle(
      sent,
      await call(
        'POST',
        '/api/Configuration.Replace',
        JSON.stringify(doc),
        { [wireName(H.base)]: String(base) },
        withinMs,
      ),
    );
  }

  async function update(
    change: NamedChangeDoc,
    doc: ConfigDoc,
    base: number,
    withinMs: number,
  ): Promise<ConfigSent> {
    const sent = note(doc, base);
    return settle(
      sent,
      await call(
        'POST',
        '/api/Configuration.Update',
        JSON.stringify(change),
        { [wireName(H.base)]: String(base) },
        withinMs,
      ),
    );
  }

  async function nameVersion(model: string, revision: number, withinMs: number): Promise<boolean> {
    const v = { model, revision, at: clock.now(), ackAt: undefined as number | undefined };
    book.versions.push(v);
    ground.named.set(model, [...(ground.named.get(model) ?? []), revision]);
    const a = await call(
      'POST',
      '/api/version-put',
      JSON.stringify({ model, revision }),
      {},
      withinMs,
    );
    if (!a || a.status < 200 || a.status >= 300) return false;
    v.ackAt = clock.now();
    return true;
  }

  async function readBack(forMs: number): Promise<ConfigDoc | undefined> {
    const end = clock.now() + forMs;
    book.readBackAsked = true;
    book.readBack = undefined;
    while (clock.now() < end) {
      const a = await call(
        'GET',
        '/api/Configuration.Describe',
        undefined,
        {},
        Math.max(1, end - clock.now()),
      );
      if (a?.status === 200) {
        book.readBack = JSON.parse(a.body) as ConfigDoc;
        return book.readBack;
      }
      await clock.sleep(100);
    }
    return undefined;
  }

  return { replace, update, nameVersion, readBack, nodes };
}
