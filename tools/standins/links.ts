import net from 'node:net';
import {
  sendJson,
  httpHandler,
  makeRequestListener,
  readJsonBody,
} from '../../src/shared/transport/http-handlers';
import { Result } from '../../src/shared/errors/errors';
import { IncomingRequest, Listener } from '../../src/shared/ports/network';
import { Ports } from '../../src/shared/ports/ports';

/** The stand-in for the network: it listens where processes say they are, and passes to where they bind. */
export interface LinkWays {
  control: string;
  ats: string[];
  told: string;
  bound: string;
}

interface Half {
  from: string;
  to: string;
  socket: net.Socket;
}

/** Where a process binds that tells another address. */
export function boundOf(at: string, w: Pick<LinkWays, 'told' | 'bound'>): string {
  return at.replace(`127.${w.told}.`, `127.${w.bound}.`);
}

class LinksEdge {
  private cuts = new Set<string>();
  private readonly halves = new Set<Half>();

  constructor(private readonly ways: LinkWays) {}

  private isCut(h: { from: string; to: string }): boolean {
    return this.cuts.has(`${h.from} ${h.to}`);
  }

  /** Sets which links are cut, each one way: `[from, to]` by IP number. */
  @httpHandler('PUT', '/api/cuts')
  async put(call: IncomingRequest): Promise<void> {
    const b = (await readJsonBody(call, 1 << 20)) as { cuts: [string, string][] } | undefined;
    if (!b) return;
    this.cuts = new Set(b.cuts.map(pair));
    function pair(p: [string, string]): string {
      return p.join(' ');
    }
    for (const h of this.halves) {
      if (this.isCut(h)) h.socket.pause();
      else h.socket.resume();
    }
    sendJson(call, 200, { cuts: b.cuts.length });
  }

  /** Passes one connection on, from the dialling process's own IP number. */
  pass(inner: net.Socket, at: string): void {
    const { ways } = this;
    const [host, port] = boundOf(at, ways).split(':');
    const to = at.split(':')[0];
    const source = inner.remoteAddress!;
    const from = source.replace(`127.${ways.bound}.`, `127.${ways.told}.`);
    const outer = net.connect({ host, port: Number(port), localAddress: source });
    this.join({ from, to, socket: inner }, outer);
    this.join({ from: to, to: from, socket: outer }, inner);
  }

  private join(h: Half, other: net.Socket): void {
    const { halves } = this;
    halves.add(h);
    h.socket.setNoDelay(true);
    h.socket.pipe(other);
    if (this.isCut(h)) h.socket.pause();
    function over(): void {
      halves.delete(h);
      other.destroy();
    }
    h.socket.on('close', over);
    h.socket.on('error', over);
  }
}

/** Starts the stand-in network. */
export async function startLinks(ports: Ports, ways: LinkWays): Promise<Result<Listener>> {
  const edge = new LinksEdge(ways);
  for (const at of ways.ats) {
    const [host, port] = at.split(':');
    function taken(s: net.Socket): void {
      edge.pass(s, at);
    }
    function listen(up: () => void): void {
      net.createServer(taken).listen(Number(port), host, up);
    }
    await new Promise<void>(listen);
  }
  return ports.network.serveHttp(ways.control, makeRequestListener([edge], ports.logger));
}
