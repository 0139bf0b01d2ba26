/**
 * What the HTTP servers on Node's own sockets share: addresses, request bodies and answers in pieces.
 */

import http from 'node:http';
import { Left, Right } from 'purify-ts';
import { makeError, Result } from '../errors/errors';

/** Parts an address into host and port. */
export function splitAddress(at: string): { host: string; port: number } {
  const i = at.lastIndexOf(':');
  return { host: at.slice(0, i), port: Number(at.slice(i + 1)) };
}

/** Does nothing: for events that another handler sees to. */
export function ignore(): void {}

/** Reads a whole request body; one of more than `most` bytes is refused, its rest passed over. */
export function readBody(req: http.IncomingMessage, most: number): Promise<Result<Uint8Array>> {
  const peer = req.socket.remoteAddress ?? '';
  const parts: Buffer[] = [];
  let size = 0;
  function wait(done: (o: Result<Uint8Array>) => void): void {
    function data(p: Buffer): void {
      size += p.length;
      if (size <= most) parts.push(p);
      else done(Left(makeError('read body', peer, `over ${most} bytes`, 'refused', 'too-large')));
    }
    function whole(): void {
      if (req.complete && size <= most)
        done(Right(parts.length === 1 ? parts[0] : Buffer.concat(parts)));
    }
    function broken(): void {
      done(Left(makeError('read body', peer, 'broke off', 'refused', 'bad-body')));
    }
    if (req.destroyed) return broken();
    req.on('data', data);
    req.on('end', whole);
    req.on('close', broken);
  }
  return new Promise(wait);
}

/** Writes a piece of an answer and waits until there is room for the next; false once the peer is gone. */
export function writeChunk(
  res: http.ServerResponse,
  gone: AbortSignal,
  piece: string | Uint8Array,
): Promise<boolean> {
  function wait(done: (ok: boolean) => void): void {
    if (gone.aborted || res.destroyed) return done(false);
    if (res.write(piece)) return done(true);
    function drained(): void {
      res.off('close', drained);
      res.off('drain', drained);
      done(!gone.aborted);
    }
    res.once('drain', drained);
    res.once('close', drained);
  }
  return new Promise(wait);
}
