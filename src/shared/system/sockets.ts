/**
 * Addresses, connecting and listening on Node's own sockets.
 */

import net from 'node:net';
import { Left, Right } from 'purify-ts';
import { systemErrorCode } from '../errors/error-codes';
import { makeError, Result } from '../errors/errors';

/** Splits an address `ip:port`. */
export function splitAddress(address: string): { host: string; port: number } {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}

/** The address that a process listens at: with another IP number than the one it tells, where `bind` is one. */
export function boundAddress(address: string, bind: string): string {
  return bind === '' ? address : `${bind}:${splitAddress(address).port}`;
}

/** Does nothing: for events that another listener sees to. */
export function ignore(): void {
  // does nothing on purpose
}

/** Where and how a socket is connected. */
export interface ConnectOptions {
  address: string;
  /** The IP number that it connects from; the machine's choice where it is undefined. */
  localAddress: string | undefined;
  timeoutMs: number;
  /** The step and the reason of the error of a timeout. */
  step: string;
  timeoutReason: string;
}

/**
 * Connects a socket, and gives what `wrap` makes of it. Errors (refused): `timeout`, or the system's code. A connection
 * that came up while the event loop was held up counts as in time, so a timeout is decided one turn later.
 */
export function connectSocket<T>(
  { address, localAddress, timeoutMs, step, timeoutReason }: ConnectOptions,
  wrap: (socket: net.Socket) => T,
): Promise<Result<T>> {
  function run(resolve: (connected: Result<T>) => void): void {
    const socket = net.connect({ ...splitAddress(address), localAddress });
    const timer = setTimeout(onTimeout, timeoutMs);
    socket.once('error', onError);
    socket.once('connect', onConnect);
    function onTimeout(): void {
      setImmediate(giveUp);
    }
    function giveUp(): void {
      if (!socket.connecting) return;
      socket.destroy();
      resolve(Left(makeError(step, address, timeoutReason, 'refused', 'timeout')));
    }
    function onError(error: Error): void {
      clearTimeout(timer);
      resolve(Left(makeError(step, address, error, 'refused', systemErrorCode(error))));
    }
    function onConnect(): void {
      clearTimeout(timer);
      socket.off('error', onError);
      resolve(Right(wrap(socket)));
    }
  }
  return new Promise(run);
}

/** Has a server listen, and gives what `wrap` makes of the address that it listens at. */
export function listenOn<T>(
  server: net.Server,
  address: string,
  backlog: number,
  wrap: (boundAddress: string) => T,
): Promise<Result<T>> {
  function run(resolve: (listening: Result<T>) => void): void {
    function onError(error: Error): void {
      resolve(Left(makeError('listen', address, error)));
    }
    function onListening(): void {
      server.off('error', onError);
      const bound = server.address() as net.AddressInfo;
      resolve(Right(wrap(`${bound.address}:${bound.port}`)));
    }
    server.once('error', onError);
    server.listen({ ...splitAddress(address), backlog }, onListening);
  }
  return new Promise(run);
}
