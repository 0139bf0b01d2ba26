import { EvacuationSent } from './apart-records';
import { ConfigDoc, ConfigSent, faultOf } from './book';
import { callFollowing, ControlAnswer } from './control-calls';
import { Ground, H, wireName } from './ground';

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
  /** Asks that a zone's engines get nothing more, or takes that back; whether it was acknowledged. */
  evacuate: (zone: string, kind: EvacuationSent['kind'], withinMs: number) => Promise<boolean>;
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

const EVACUATION_PATHS = {
  start: '/api/Evacuations.Start/',
  finish: '/api/Evacuations.Finish/',
};
const CLEAR = new Set([400, 409, 412, 413, 422]);

/** Makes the operator. */
export function makeOperator(ground: Ground, nodes: string[]): Operator {
  const { clock, dice, book } = ground;

  /** Calls node after node until the answer is clear. */
  async function call(
    method: string,
    path: string,
    body: string | undefined,
    headers: Record<string, string>,
    withinMs: number,
  ): Promise<ControlAnswer | undefined> {
    const end = clock.now() + withinMs;
    const silenceMs = 1000 + (body?.length ?? 0) / 100;
    const request = { method, path, body, headers };
    let pause = 50;
    let at = Math.floor(dice.next() * nodes.length);
    let odd = 0;
    while (clock.now() < end) {
      const a = await callFollowing(nodes[at++ % nodes.length], request, silenceMs);
      if ((a.status >= 200 && a.status < 300) || CLEAR.has(a.status)) return a;
      if (a.status >= 400 && a.status < 500 && a.status !== 408 && a.status !== 429 && ++odd >= 3)
        return a;
      await clock.sleep(pause * (0.5 + dice.next()));
      pause = Math.min(1000, pause * 2);
    }
    return undefined;
  }

  function settle(sent: ConfigSent, a: ControlAnswer | undefined): ConfigSent {
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

  async function evacuate(
    zone: string,
    kind: EvacuationSent['kind'],
    withinMs: number,
  ): Promise<boolean> {
    const sent: EvacuationSent = { zone, kind, at: clock.now() };
    book.evacuations.push(sent);
    const answer = await call('POST', EVACUATION_PATHS[kind] + zone, undefined, {}, withinMs);
    if (!answer || answer.status < 200 || answer.status >= 300) return false;
    sent.ackAt = clock.now();
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

  return { replace, update, nameVersion, evacuate, readBack, nodes };
}
