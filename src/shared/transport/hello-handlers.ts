/**
 * Handlers of the handshake and the heartbeat of a connection.
 */

import { Left, Right } from 'purify-ts';
import { errorOrValue } from '../errors/errors';
import { checkHello, Hello } from './hello';
import { HandlerResult, messageHandler } from './message-handlers';
import { PeerChannel } from './peer-channel';

/** Answers handshakes with this process's own message, and heartbeats. */
export class HelloHandlers {
  constructor(private readonly own: Hello) {}

  /** Checks the peer's handshake message, notes it on the channel, and replies with our own. */
  @messageHandler('hello')
  async hello(body: unknown, channel: PeerChannel): HandlerResult {
    const [error, hello] = errorOrValue(checkHello(body, channel.peer));
    if (error) return Left(error);
    channel.hello = hello;
    return Right(this.own);
  }

  /** Replies to a heartbeat, which shows that this process still runs. */
  @messageHandler('ping')
  async ping(): HandlerResult {
    return Right(true);
  }
}
