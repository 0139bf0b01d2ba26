/**
 * What the HTTP servers on Node's own sockets share: request bodies, and responses in chunks.
 */

import http from 'node:http';
import { Right } from 'purify-ts';
import { ErrorCode } from '../errors/error-codes';
import { failure, Result } from '../errors/errors';

/** Reads a complete request body. Errors (refused): `too-large` for more than `maxBytes`, the rest of which is discarded, and `bad-body` where the caller goes away. */
export function readBody(req: http.IncomingMessage, maxBytes: number): Promise<Result<Uint8Array>> {
  const peer = req.socket.remoteAddress ?? '';
  const chunks: Buffer[] = [];
  let size = 0;
  function refuse(reason: string, code: ErrorCode): Result<Uint8Array> {
    return failure('read body', peer, reason, 'refused', code);
  }
  function run(resolve: (body: Result<Uint8Array>) => void): void {
    function onData(chunk: Buffer): void {
      size += chunk.length;
      if (size <= maxBytes) chunks.push(chunk);
      else resolve(refuse(`over ${maxBytes} bytes`, 'too-large'));
    }
    function onEnd(): void {
      if (req.complete && size <= maxBytes)
        resolve(Right(chunks.length === 1 ? chunks[0] : Buffer.concat(chunks)));
    }
    function onClose(): void {
      resolve(refuse('broke off', 'bad-body'));
    }
    if (req.destroyed) return onClose();
    req.on('data', onData);
    req.on('end', onEnd);
    req.on('close', onClose);
  }
  return new Promise(run);
}

/** Writes a chunk of a response, and resolves when there is room for the next; with false once the peer is gone. */
export function writeChunk(
  res: http.ServerResponse,
  aborted: AbortSignal,
  chunk: string | Uint8Array,
): Promise<boolean> {
  function run(resolve: (isWritten: boolean) => void): void {
    if (aborted.aborted || res.destroyed) return resolve(false);
    if (res.write(chunk)) return resolve(true);
    function onDrainOrClose(): void {
      res.off('close', onDrainOrClose);
      res.off('drain', onDrainOrClose);
      resolve(!aborted.aborted);
    }
    res.once('drain', onDrainOrClose);
    res.once('close', onDrainOrClose);
  }
  return new Promise(run);
}

/** A signal that is aborted when a response's connection closes before the response has been written out. */
export function abortOnClose(res: http.ServerResponse): AbortController {
  const controller = new AbortController();
  function onClose(): void {
    if (!res.writableFinished) controller.abort();
  }
  res.on('close', onClose);
  return controller;
}
