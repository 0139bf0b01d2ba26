/**
 * Requests between our own processes whose long bodies are compressed.
 */

import { pack } from 'msgpackr';
import { errorOrValue, Result } from '../errors/errors';
import { bodyField } from './body-fields';
import { decompress, deflate } from './compression';
import { dispatch, HandlerResult, messageHandler } from './message-handlers';
import { PeerChannel, RequestChannel } from './peer-channel';

/** A body of more bytes is compressed. */
const MAX_UNCOMPRESSED_BYTES = 4096;

/** A request of another type whose body is compressed. The field names are sent. */
export class CompressedRequest {
  @bodyField('string') type!: string;
  @bodyField('any') bytes!: Uint8Array;
}

/** Handles compressed requests by the handlers of their types. */
export class CompressedRequestHandlers {
  constructor(private readonly handlers: readonly object[]) {}

  /** Reads the body, and has the request handled as if it had come uncompressed. */
  @messageHandler('packed', CompressedRequest)
  async packed({ type, bytes }: CompressedRequest, from: PeerChannel): HandlerResult {
    const body = decompress('read packed', from.peer, bytes);
    if (body.isLeft()) return body;
    return dispatch(this.handlers, type, body.extract(), from, from.peer);
  }
}

/** The compressed bodies of requests that go to several peers; undefined for one that is short. */
const compressedBodies = new WeakMap<object, Uint8Array | undefined>();

function compressedBody(body: object): Uint8Array | undefined {
  if (compressedBodies.has(body)) return compressedBodies.get(body);
  const bytes = pack(body);
  const compressed = bytes.length > MAX_UNCOMPRESSED_BYTES ? deflate(bytes) : undefined;
  compressedBodies.set(body, compressed);
  return compressed;
}

/** The bytes of a request's body where it is compressed, 0 where it is short. */
export function compressedBodyBytes(body: object): number {
  return compressedBody(body)?.length ?? 0;
}

/** Sends a request, with a compressed body where that is long; a peer of an earlier release that can't read it is sent it uncompressed. */
export async function requestCompressed(
  channel: RequestChannel,
  type: string,
  body: object,
  timeoutMs: number,
): Promise<Result<unknown>> {
  const bytes = compressedBody(body);
  if (!bytes) return channel.request(type, body, timeoutMs);
  const reply = await channel.request('packed', { type, bytes }, timeoutMs);
  const [error] = errorOrValue(reply);
  return error?.code === 'not-known' ? channel.request(type, body, timeoutMs) : reply;
}
