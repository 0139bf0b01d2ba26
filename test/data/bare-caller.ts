/** Callers' connections to a router, in bytes; lines end with a bare new-line in what is said. */

import net from 'node:net';

/** A caller's bare connection: what was received so far, and when that changes. */
export interface BareCaller {
  write: (text: string) => void;
  received: () => string;
  /** Comes once the text received has this in it; `false` where the connection ended first. */
  has: (text: string) => Promise<boolean>;
  closed: Promise<void>;
  destroy: () => void;
}

/** Connects to a router as a caller does. */
export async function bareCaller(at: string): Promise<BareCaller> {
  const [host, port] = at.split(':');
  const socket = net.connect({ host, port: Number(port) });
  let text = '';
  function data(p: Buffer): void {
    text += p.toString('latin1');
  }
  function nothing(): void {
    // does nothing on purpose
  }
  socket.on('data', data);
  socket.on('error', nothing);
  function up(done: () => void): void {
    socket.once('connect', done);
  }
  function down(done: () => void): void {
    socket.once('close', done);
  }
  const closed = new Promise<void>(down);
  await new Promise<void>(up);
  function write(out: string): void {
    socket.write(out.replaceAll('\n', '\r\n'), 'latin1');
  }
  function received(): string {
    return text;
  }
  function has(wanted: string): Promise<boolean> {
    function wait(done: (ok: boolean) => void): void {
      function look(): void {
        if (!text.includes(wanted)) return;
        socket.off('data', look);
        done(true);
      }
      function ended(): void {
        done(text.includes(wanted));
      }
      socket.on('data', look);
      socket.on('close', ended);
      look();
    }
    return new Promise(wait);
  }
  function destroy(): void {
    socket.destroy();
  }
  return { write, received, has, closed, destroy };
}

/** Says bytes to a router, and gives back all that comes until the connection ends. */
export function say(at: string, text: string): Promise<string> {
  const [host, port] = at.split(':');
  function wait(done: (text: string) => void): void {
    const s = net.connect({ host, port: Number(port) });
    let got = '';
    function data(p: Buffer): void {
      got += p.toString('latin1');
    }
    function over(): void {
      done(got);
    }
    s.on('data', data);
    s.on('error', over);
    s.on('close', over);
    s.write(text.replaceAll('\n', '\r\n'), 'latin1');
  }
  return new Promise(wait);
}
