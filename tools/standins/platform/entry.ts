import http from 'node:http';
import { Clock } from '../../../src/shared/ports/clock';
import { rankByRendezvousHash } from '../../../src/shared/util/hashing';
import { each, kept, splitAt } from './serve';

/** An edge node, as the platform's entry knows it. */
export interface EdgeNode {
  name: string;
  ip: string;
  zone: string;
  frontend: string;
  readiness: string;
}

/** The platform's entry: it asks who is ready, and hands new connections out. */
export interface Entry {
  nodes: EdgeNode[];
  ready: (node: EdgeNode) => boolean;
  allReady: () => boolean;
  /** The node that a client's new connection of this number goes to. */
  nodeFor: (client: string, zone: string, nth: number) => EdgeNode;
  stop: () => void;
}

const ASK_MS = 1000;

/** Asks once over HTTP; the status, or 0 for silence. */
export function askStatus(at: string, path: string, within: number): Promise<number> {
  const k = kept<number>();
  function answered(res: http.IncomingMessage): void {
    res.resume();
    k.keep(res.statusCode ?? 0);
  }
  function failed(): void {
    req.destroy();
    k.keep(0);
  }
  const req = http.get({ ...splitAt(at), path, agent: false, timeout: within }, answered);
  req.on('timeout', failed);
  req.on('error', failed);
  return k.promise;
}

/** Starts the entry; no node is in until it has answered once. */
export function startEntry(clock: Clock, nodes: EdgeNode[], zones: string[]): Entry {
  const misses = new Map<string, number>();
  for (const n of nodes) misses.set(n.name, 2);

  async function ask(n: EdgeNode): Promise<void> {
    const status = await askStatus(n.readiness, '/api/readiness', ASK_MS);
    misses.set(n.name, status === 200 ? 0 : (misses.get(n.name) ?? 0) + 1);
  }
  function askAll(): void {
    for (const n of nodes) void ask(n);
  }
  askAll();
  const stop = each(clock, ASK_MS, askAll);

  function ready(n: EdgeNode): boolean {
    return (misses.get(n.name) ?? 2) < 2;
  }
  function allReady(): boolean {
    return nodes.every(ready);
  }
  function nodeFor(client: string, zone: string, nth: number): EdgeNode {
    const at = Math.max(0, zones.indexOf(zone));
    let among: EdgeNode[] = [];
    for (let i = 0; i < zones.length && among.length === 0; i++) {
      const z = zones[(at + i) % zones.length];
      const all = nodes.filter(isThere);
      const inn = all.filter(ready);
      if (inn.length > 0) among = inn.length * 2 < all.length ? all : inn;
      function isThere(n: EdgeNode): boolean {
        return n.zone === z;
      }
    }
    if (among.length === 0) among = nodes;
    const order = rankByRendezvousHash(client, among.map(nameOf));
    const name = order[nth % order.length];
    function isIt(n: EdgeNode): boolean {
      return n.name === name;
    }
    return among.find(isIt)!;
  }
  function nameOf(n: EdgeNode): string {
    return n.name;
  }
  return { nodes, ready, allReady, nodeFor, stop };
}
