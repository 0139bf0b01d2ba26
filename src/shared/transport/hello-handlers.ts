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
  hello(body: unknown, channel: PeerChannel): HandlerResult {
    const [error, hello] = errorOrValue(checkHello(body, channel.peer));
    if (error) return Promise.resolve(Left(error));
    channel.hello = hello;
    return Promise.resolve(Right(this.own));
  }

  /** Replies to a heartbeat, which shows that this process still runs. */
  @messageHandler('ping')
  ping(): HandlerResult {
    return Promise.resolve(Right(true));
  }
}
