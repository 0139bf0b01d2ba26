/**
 * The form of an error in a message between our own processes. Its field names are those of every release so far, and
 * stay: during a rolling upgrade the peer may be of the release before.
 */

import { ErrorCode } from '../errors/error-codes';
import { Certainty, OperationError } from '../errors/errors';

/** An error as it is sent. */
export interface WireError {
  step: string;
  peer: string;
  /** `OperationError.reason` */
  why: string;
  /** `OperationError.certainty` */
  sort: Certainty;
  code?: ErrorCode;
}

/** The form of an error that is sent; `code` is left out where the error has none. */
export function encodeError(error: OperationError): WireError {
  const { step, peer, reason, certainty } = error;
  const encoded: WireError = { step, peer, why: reason, sort: certainty };
  return 'code' in error ? { ...encoded, code: error.code } : encoded;
}

/** Reads an error that a peer sent; what is malformed is read as far as it can be, and nothing is thrown. */
export function decodeError(sent: WireError): OperationError {
  const { step, peer, why, sort } = sent;
  const decoded: OperationError = { step, peer, reason: why, certainty: sort };
  return Object.hasOwn(sent, 'code') ? { ...decoded, code: sent.code } : decoded;
}
