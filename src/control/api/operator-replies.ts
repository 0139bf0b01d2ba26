/**
 * The replies of the operators' HTTP interface that several requests share.
 */

import { OperationError } from '../../shared/errors/errors';
import { IncomingRequest } from '../../shared/ports/network';
import { CONTROL_KEYS } from '../../shared/state/control-keys';
import { Version } from '../../shared/state/versions';
import { sendError, sendJson } from '../../shared/transport/http-handlers';
import { ChangeResult } from '../configuration/change-coordinator';
import { Controller } from '../controller-interface';

/** The revision of the intents in force; 0 before there are any. */
export function currentRevision(controller: Controller): number {
  return controller.committedValue(CONTROL_KEYS.intents)?.place.number ?? 0;
}

/**
 * Sends an error: 409 for a conflict, 504 where the effect is unknown, 400 for faulty intents, and 503 for everything
 * else that was refused.
 */
export function sendOperationError(
  controller: Controller,
  call: IncomingRequest,
  error: OperationError,
): void {
  const { code, certainty, reason } = error;
  const { retryPauseMs } = controller.timeLimits;
  if (code === 'conflict')
    return sendJson(call, 409, {
      error: { class: 'refused', code: 'conflict', message: reason },
      revision: currentRevision(controller),
    });
  const message = `${error.step} at ${error.peer}: ${reason}`;
  if (certainty === 'unknown')
    return sendError(call, 504, 'unknown', code ?? 'unknown', message, retryPauseMs);
  const status = code === 'bad-intents' ? 400 : 503;
  sendError(call, status, 'refused', code ?? 'refused', message, retryPauseMs);
}

/** Sends the result of a change: 200 where it is in effect, 202 where it is committed only. */
export function sendChangeResult(
  call: IncomingRequest,
  key: string,
  result: ChangeResult,
  fields: object = {},
): void {
  const { place, inEffect } = result;
  sendJson(call, inEffect ? 200 : 202, {
    change: formatChangeName(key, place),
    revision: place.number,
    inEffect,
    ...fields,
  });
}

/** The name of a change in paths: `key~epoch~by~number`, with a colon for the slash of a key. */
function formatChangeName(key: string, { epoch, by, number }: Version): string {
  return `${key}~${epoch}~${by}~${number}`.replace('/', ':');
}

/** Reads the name of a change; undefined where it is none. */
export function parseChangeName(name: string): { key: string; version: Version } | undefined {
  const [key, epoch, by, number] = name.split('~');
  if (number === undefined) return undefined;
  const version: Version = { epoch: Number(epoch), by, number: Number(number) };
  return { key: key.replace(':', '/'), version };
}
