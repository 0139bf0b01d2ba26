import net from 'node:net';
import { Clock } from '../../../src/shared/ports/clock';
import { kept, splitAt } from './serve';

/** The head of an answer. */
export interface AnswerHead {
  status: number;
  headers: Record<string, string>;
}

/** How one exchange on a channel went. */
export interface Exchanged {
  end: 'whole' | 'cut' | 'garbage' | 'gave-up' | 'no-connection';
  head?: AnswerHead;
  body: string;
  /** Whether any of the request was written. */
  wrote: boolean;
  /** Whether the connection serves for more. */
  open: boolean;
}

/** A client's connection to one node, read byte by byte. */
export interface Channel {
  at: string;
  /** Whether a request may go on it now. */
  usable: () => boolean;
  /** Sends one request and reads its answer; `came` gets each piece of the body, `quietMs` bounds each silence. */
  exchange: (
    request: string,
    ways: {
      withinMs: number;
      quietMs: number;
      came: (piece: string) => void;
      gave: (head: AnswerHead) => void;
    },
  ) => Promise<Exchanged>;
  close: () => void;
}

interface Reading {
  head?: AnswerHead;
  body: string;
  left: number;
  mode:
    | 'head'
    | 'length'
    | 'chunk-size'
    | 'chunk'
    | 'chunk-end'
    | 'trailer'
    | 'close'
    | 'whole'
    | 'garbage';
  bytes: string;
}

function fresh(): Reading {
  return { body: '', left: 0, mode: 'head', bytes: '' };
}

function parseHead(text: string): AnswerHead | undefined {
  const lines = text.split('\r\n');
  const m = /^HTTP\/1\.1 (\d{3})( |$)/.exec(lines[0]);
  if (!m) return undefined;
  const headers: Record<string, string> = {};
  for (const l of lines.slice(1)) {
    const i = l.indexOf(':');
    if (i <= 0) return undefined;
    headers[l.slice(0, i).toLowerCase()] = l.slice(i + 1).trim();
  }
  return { status: Number(m[1]), headers };
}

/** Reads on as far as the bytes go; what is behind a whole answer stays in `bytes`. */
function read(r: Reading, came: (piece: string) => void): void {
  for (;;) {
    if (r.mode === 'whole' || r.mode === 'garbage') return;
    if (r.mode === 'head') {
      const i = r.bytes.indexOf('\r\n\r\n');
      if (i < 0) {
        if (
          r.bytes.length > 65536 ||
          (r.bytes.length >= 5 && !'HTTP/'.startsWith(r.bytes.slice(0, 5)))
        )
          r.mode = 'garbage';
        return;
      }
      const head = parseHead(r.bytes.slice(0, i));
      r.bytes = r.bytes.slice(i + 4);
      if (!head) {
        r.mode = 'garbage';
        return;
      }
      if (head.status < 200) continue;
      r.head = head;
      if (head.status === 204 || head.status === 304) r.mode = 'whole';
      else if (/chunked/i.test(head.headers['transfer-encoding'] ?? '')) r.mode = 'chunk-size';
      else if (head.headers['content-length'] !== undefined) {
        r.left = Number(head.headers['content-length']);
        r.mode = r.left === 0 ? 'whole' : 'length';
      } else r.mode = 'close';
      continue;
    }
    if (r.mode === 'length' || r.mode === 'chunk') {
      if (r.bytes === '') return;
      const take = r.bytes.slice(0, r.left);
      r.bytes = r.bytes.slice(take.length);
      r.left -= take.length;
      r.body += take;
      came(take);
      if (r.left > 0) return;
      r.mode = r.mode === 'length' ? 'whole' : 'chunk-end';
      continue;
    }
    if (r.mode === 'close') {
      if (r.bytes === '') return;
      const take = r.bytes;
      r.bytes = '';
      r.body += take;
      came(take);
      return;
    }
    const i = r.bytes.indexOf('\r\n');
    if (i < 0) return;
    const line = r.bytes.slice(0, i);
    r.bytes = r.bytes.slice(i + 2);
    if (r.mode === 'chunk-end') r.mode = line === '' ? 'chunk-size' : 'garbage';
    else if (r.mode === 'trailer') r.mode = line === '' ? 'whole' : 'trailer';
    else if (!/^[0-9a-f]+(;.*)?$/i.test(line)) r.mode = 'garbage';
    else {
      r.left = parseInt(line, 16);
      r.mode = r.left === 0 ? 'trailer' : 'chunk';
    }
  }
}

/** Opens a connection; `stray` gets bytes that come while no request waits. One that reads slowly rests for `restMs` after each read. */
export function openChannel(
  clock: Clock,
  at: string,
  dialMs: number,
  stray: (bytes: string) => void,
  restMs = 0,
): Promise<Channel | undefined> {
  const up = kept<Channel | undefined>();
  const socket = net.connect(splitAt(at));
  socket.setNoDelay(true);
  let reading: Reading | undefined;
  let closed = false;
  let last = clock.now();
  let idleMs = Infinity;
  let changed: () => void = nothing;
  let came: (piece: string) => void = nothing;
  let lastByteAt = 0;

  function rest(): void {
    socket.pause();
    clock.setTimer(restMs, goOn);
    function goOn(): void {
      socket.resume();
    }
  }
  function data(b: Buffer): void {
    if (restMs > 0) rest();
    if (!reading) {
      stray(b.toString('latin1'));
      return;
    }
    lastByteAt = clock.now();
    reading.bytes += b.toString('latin1');
    read(reading, came);
    changed();
  }
  function over(): void {
    closed = true;
    changed();
    up.keep(undefined);
  }
  const offDial = clock.setTimer(dialMs, late);
  function late(): void {
    socket.destroy();
    up.keep(undefined);
  }
  function connected(): void {
    offDial();
    up.keep(channel);
  }
  socket.on('data', data);
  socket.on('end', over);
  socket.on('close', over);
  socket.on('error', over);
  socket.on('connect', connected);

  function usable(): boolean {
    return !closed && !reading && clock.now() - last < idleMs;
  }
  function close(): void {
    closed = true;
    socket.destroy();
  }

  async function exchange(
    request: string,
    ways: Parameters<Channel['exchange']>[1],
  ): Promise<Exchanged> {
    if (closed) return { end: 'no-connection', body: '', wrote: false, open: false };
    const r = fresh();
    reading = r;
    came = ways.came;
    lastByteAt = clock.now();
    const end = clock.now() + ways.withinMs;
    socket.write(request, 'latin1');
    let told = false;
    for (;;) {
      if (r.head && !told) {
        told = true;
        ways.gave(r.head);
      }
      if (r.mode === 'whole' || r.mode === 'garbage' || closed) break;
      const now = clock.now();
      const quiet = lastByteAt + ways.quietMs;
      if (now >= end || now >= quiet) {
        close();
        reading = undefined;
        return { end: 'gave-up', head: r.head, body: r.body, wrote: true, open: false };
      }
      await turn(Math.min(end, quiet) - now);
    }
    if (r.head && !told) ways.gave(r.head);
    reading = undefined;
    last = clock.now();
    if (r.bytes !== '' && r.mode === 'whole') stray(r.bytes);
    if (r.mode === 'garbage') close();
    const h = r.head?.headers ?? {};
    const m = /timeout=(\d+)/.exec(h['keep-alive'] ?? '');
    idleMs = m ? Number(m[1]) * 1000 : Infinity;
    const done = r.mode === 'whole' || (r.mode === 'close' && r.head !== undefined);
    if (done && (/close/i.test(h.connection ?? '') || r.mode === 'close')) close();
    const how = r.mode === 'garbage' ? 'garbage' : done ? 'whole' : 'cut';
    return { end: how, head: r.head, body: r.body, wrote: true, open: !closed };
  }

  function turn(ms: number): Promise<void> {
    const k = kept<void>();
    const off = clock.setTimer(Math.max(0, ms) + 1, go);
    function go(): void {
      off();
      k.keep();
    }
    changed = go;
    return k.promise;
  }

  const channel: Channel = { at, usable, exchange, close };
  return up.promise;
}

function nothing(): void {
  // does nothing on purpose
}
