import http from 'node:http';
import net from 'node:net';
import { PackrStream, UnpackrStream } from 'msgpackr';
import { Left, Right } from 'purify-ts';
import { systemErrorCode } from '../errors/error-codes';
import { makeError, Result } from '../errors/errors';
import { IncomingRequest, Listener, Message, Connection, Network } from '../ports/network';
import { makeHttpClient } from './http-client';
import { readBody, splitAddress, writeChunk } from './http-io';
import { makePushStream } from '../util/push-stream';

function listen(
  server: net.Server,
  at: string,
  close: () => Promise<void>,
): Promise<Result<Listener>> {
  function wait(done: (o: Result<Listener>) => void): void {
    function failed(e: Error): void {
      done(Left(makeError('listen', at, e)));
    }
    function up(): void {
      server.off('error', failed);
      const a = server.address() as net.AddressInfo;
      done(Right({ address: `${a.address}:${a.port}`, close }));
    }
    server.once('error', failed);
    server.listen({ ...splitAddress(at), backlog: 1024 }, up);
  }
  return new Promise(wait);
}

function textOf(bytes: Uint8Array): string {
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength).toString('utf8');
}

function makeCall(req: http.IncomingMessage, res: http.ServerResponse): IncomingRequest {
  const url = new URL(req.url ?? '/', 'http://node');
  const gone = new AbortController();
  function closed(): void {
    if (!res.writableFinished) gone.abort();
  }
  function broke(): void {
    gone.abort();
  }
  res.on('close', closed);
  res.on('error', broke);
  req.on('error', broke);
  async function body(most: number): Promise<Result<string>> {
    return (await readBody(req, most)).map(textOf);
  }
  function head(status: number, headers: Record<string, string>): void {
    if (!res.headersSent) res.writeHead(status, headers);
  }
  function piece(text: string): Promise<boolean> {
    return writeChunk(res, gone.signal, text);
  }
  function end(text?: string): void {
    res.end(text);
  }
  function breakOff(): void {
    res.destroy();
  }
  const headers = req.headers as Record<string, string | undefined>;
  return {
    method: req.method ?? 'GET',
    path: url.pathname,
    query: url.searchParams,
    headers,
    peer: req.socket.remoteAddress ?? '',
    aborted: gone.signal,
    body,
    writeHead: head,
    write: piece,
    end,
    destroy: breakOff,
  };
}

function serve(
  at: string,
  take: (call: IncomingRequest) => Promise<void>,
): Promise<Result<Listener>> {
  function arrived(req: http.IncomingMessage, res: http.ServerResponse): void {
    void take(makeCall(req, res));
  }
  const server = http.createServer({ keepAliveTimeout: 30000 }, arrived);
  function close(): Promise<void> {
    function wait(done: () => void): void {
      server.close(done);
      server.closeIdleConnections();
    }
    return new Promise(wait);
  }
  return listen(server, at, close);
}

function makeConnection(socket: net.Socket): Connection {
  const out = new PackrStream({ useRecords: false });
  const inn = new UnpackrStream({ useRecords: false });
  const hand = makePushStream<Message>();
  const peer = `${socket.remoteAddress}:${socket.remotePort}`;
  let ended = false;
  socket.setNoDelay(true);
  out.pipe(socket);
  socket.pipe(inn);
  function wait(done: () => void): void {
    function over(): void {
      if (ended) return;
      ended = true;
      socket.destroy();
      hand.end();
      done();
    }
    for (const s of [socket, out, inn]) {
      s.on('error', over);
      s.on('close', over);
    }
    inn.on('end', over);
  }
  const done = new Promise<void>(wait);
  inn.on('data', hand.push);
  function send(m: Message): boolean {
    if (ended) return false;
    return out.write(m);
  }
  function close(): void {
    socket.destroy();
  }
  return { peer, messages: hand.stream, closed: done, send, close };
}

function accept(at: string, take: (s: Connection) => void): Promise<Result<Listener>> {
  const held = new Set<net.Socket>();
  function arrived(socket: net.Socket): void {
    held.add(socket);
    function left(): void {
      held.delete(socket);
    }
    socket.on('close', left);
    take(makeConnection(socket));
  }
  const server = net.createServer(arrived);
  function close(): Promise<void> {
    for (const s of held) s.destroy();
    function wait(done: () => void): void {
      server.close(done);
    }
    return new Promise(wait);
  }
  return listen(server, at, close);
}

function dial(at: string, within: number, localAddress?: string): Promise<Result<Connection>> {
  function wait(done: (o: Result<Connection>) => void): void {
    const socket = net.connect({ ...splitAddress(at), localAddress });
    /** A connection that came up while the event loop was held up counts as in time. */
    function late(): void {
      setImmediate(giveUp);
    }
    function giveUp(): void {
      if (!socket.connecting) return;
      socket.destroy();
      done(Left(makeError('dial', at, 'no stream in time', 'refused', 'timeout')));
    }
    const t = setTimeout(late, within);
    function failed(e: Error): void {
      clearTimeout(t);
      done(Left(makeError('dial', at, e, 'refused', systemErrorCode(e))));
    }
    function up(): void {
      clearTimeout(t);
      socket.off('error', failed);
      done(Right(makeConnection(socket)));
    }
    socket.once('error', failed);
    socket.once('connect', up);
  }
  return new Promise(wait);
}

/** The machine's network: Node's http, and msgpackr over net. */
export function makeSystemNetwork(connectWithin: number, bind = ''): Network {
  const localAddress = bind === '' ? undefined : bind;
  function bound(at: string): string {
    return bind === '' ? at : `${bind}:${splitAddress(at).port}`;
  }
  function serveHere(
    at: string,
    take: (call: IncomingRequest) => Promise<void>,
  ): Promise<Result<Listener>> {
    return serve(bound(at), take);
  }
  function acceptHere(at: string, take: (s: Connection) => void): Promise<Result<Listener>> {
    return accept(bound(at), take);
  }
  function dialFrom(at: string, within: number): Promise<Result<Connection>> {
    return dial(at, within, localAddress);
  }
  return {
    serveHttp: serveHere,
    request: makeHttpClient(connectWithin, localAddress),
    listen: acceptHere,
    connect: dialFrom,
  };
}
