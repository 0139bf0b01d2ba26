/**
 * What the HTTP servers on Node's own sockets share: responses in chunks, and the end of a response.
 */

import http from 'node:http';

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
