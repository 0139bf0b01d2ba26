/**
 * Loaded into a process of ours before its program: its links to other machines can be cut, as by a network that loses
 * all packets. What is on its way arrives once the cut has healed, unless either end has given up by then.
 */

import { readFileSync, statSync } from 'node:fs';
import net from 'node:net';

/** Links that are cut: between each machine of one side and each of the other, by IP number. */
export interface LinkCut {
  inside: string[];
  outside: string[];
}

/** The environment's names for the file that tells the cuts, and for this machine's IP number. */
export const CUTS_FILE = 'LINK_CUTS_FILE';
export const CUTS_IP = 'LINK_CUTS_IP';

/** How often the file is looked at, in ms. */
const LOOK_MS = 20;

/** The part of a TCP handle that is used here. */
interface Handle {
  readStart?: () => number;
  readStop?: () => number;
}

/** A socket with what its module keeps to itself. */
type SocketInside = Omit<net.Socket, 'connect' | 'connecting'> & {
  _handle?: Handle;
  _writeGeneric: (...args: unknown[]) => void;
  connect: (...args: unknown[]) => SocketInside;
  connecting: boolean;
};

type Waiting = () => void;

function noRead(): number {
  return 0;
}

/** Holds back what one process sends to and reads from machines that it is cut off from. */
class LinkCuts {
  private peers = new Set<string>();
  private readAt = 0;
  /** What waits on a socket until its link has healed. */
  private readonly waiting = new Map<SocketInside, Waiting[]>();
  private readonly open = new Set<SocketInside>();

  constructor(
    private readonly ip: string,
    private readonly file: string,
  ) {}

  isCut(peer: string | undefined): boolean {
    return peer !== undefined && this.peers.has(peer);
  }

  /** Looks at the file, and takes over what has changed. */
  look(): void {
    const changedAt = statSync(this.file, { throwIfNoEntry: false })?.mtimeMs ?? 0;
    if (changedAt === this.readAt) return;
    this.readAt = changedAt;
    this.peers = this.peersCutOff(readCuts(this.file));
    for (const socket of this.open) this.apply(socket);
    for (const [socket, waiting] of this.waiting) this.letGo(socket, waiting);
  }

  /** Watches a connection that is up. */
  watch(socket: SocketInside): void {
    this.open.add(socket);
    socket.once('close', this.forget.bind(this, socket));
    this.apply(socket);
  }

  /** Has something wait until the link to the socket's peer has healed. */
  hold(socket: SocketInside, run: Waiting): void {
    const waiting = this.waiting.get(socket);
    if (waiting) waiting.push(run);
    else this.waiting.set(socket, [run]);
  }

  private peersCutOff(cuts: readonly LinkCut[]): Set<string> {
    const peers = new Set<string>();
    for (const { inside, outside } of cuts) {
      if (inside.includes(this.ip)) for (const ip of outside) peers.add(ip);
      if (outside.includes(this.ip)) for (const ip of inside) peers.add(ip);
    }
    return peers;
  }

  private forget(socket: SocketInside): void {
    this.open.delete(socket);
    this.waiting.delete(socket);
  }

  /** Stops reading where the link is cut, and goes on where it has healed. */
  private apply(socket: SocketInside): void {
    const handle = socket._handle;
    if (!handle) return;
    const isHeld = handle.readStart === noRead;
    if (this.isCut(socket.remoteAddress) === isHeld) return;
    if (isHeld) {
      delete handle.readStart;
      handle.readStart!();
    } else {
      handle.readStop!();
      handle.readStart = noRead;
    }
  }

  private letGo(socket: SocketInside, waiting: Waiting[]): void {
    if (this.isCut(socket.remoteAddress ?? targets.get(socket))) return;
    this.waiting.delete(socket);
    if (!socket.destroyed) for (const run of waiting) run();
  }
}

function readCuts(file: string): LinkCut[] {
  try {
    return JSON.parse(readFileSync(file, 'utf8')) as LinkCut[];
  } catch {
    return [];
  }
}

/** Where sockets that are not up yet connect to. */
const targets = new WeakMap<SocketInside, string>();

/** The options of a call of `connect`, whose arguments may have been put into an array. */
function optionsOf(args: unknown[]): net.TcpSocketConnectOpts | undefined {
  const first: unknown = Array.isArray(args[0]) ? (args[0] as unknown[])[0] : args[0];
  const isOptions = typeof first === 'object' && first !== null && 'port' in first;
  return isOptions ? (first as net.TcpSocketConnectOpts) : undefined;
}

function holdConnects(cuts: LinkCuts, ip: string): void {
  const prototype = net.Socket.prototype as unknown as SocketInside;
  const connectNow = prototype.connect;
  function connect(this: SocketInside, ...args: unknown[]): SocketInside {
    const options = optionsOf(args);
    if (!options) return connectNow.apply(this, args);
    options.localAddress ??= ip;
    if (options.host !== undefined) targets.set(this, options.host);
    this.once('connect', cuts.watch.bind(cuts, this));
    if (!cuts.isCut(options.host)) return connectNow.apply(this, args);
    this.connecting = true;
    cuts.hold(this, connectNow.bind(this, ...args));
    return this;
  }
  prototype.connect = connect;
}

function holdWrites(cuts: LinkCuts): void {
  const prototype = net.Socket.prototype as unknown as SocketInside;
  const writeNow = prototype._writeGeneric;
  function write(this: SocketInside, ...args: unknown[]): void {
    if (cuts.isCut(this.remoteAddress)) cuts.hold(this, writeNow.bind(this, ...args));
    else writeNow.apply(this, args);
  }
  prototype._writeGeneric = write;
}

function watchAccepted(cuts: LinkCuts): void {
  const prototype = net.Server.prototype as unknown as { emit: (...args: unknown[]) => boolean };
  const emitNow = prototype.emit;
  function emit(this: net.Server, ...args: unknown[]): boolean {
    if (args[0] === 'connection') cuts.watch(args[1] as SocketInside);
    return emitNow.apply(this, args);
  }
  prototype.emit = emit;
}

/** Begins to hold back what the file tells. */
function begin(ip: string, file: string): void {
  const cuts = new LinkCuts(ip, file);
  holdConnects(cuts, ip);
  holdWrites(cuts);
  watchAccepted(cuts);
  cuts.look();
  setInterval(cuts.look.bind(cuts), LOOK_MS).unref();
}

const { [CUTS_FILE]: file, [CUTS_IP]: ip } = process.env;
if (file !== undefined && ip !== undefined) begin(ip, file);
