/**
 * Checks a caller's request against keys, services and bounds.
 */

import { Either, Left, Right } from 'purify-ts';
import { PromptBlock, splitIntoBlocks, tokenise } from '../shared/contracts/engine';
import { readJsonBody } from '../shared/transport/http-handlers';
import { parseBody } from '../shared/transport/body-fields';
import { errorOrValue } from '../shared/errors/errors';
import { sha256Hex } from '../shared/util/hashing';
import { IncomingRequest } from '../shared/ports/network';
import { Service } from '../shared/state/intents';
import { CheckedRequest, GenerateBody, isToken } from './caller-request';
import { RequestRefusal, retryAfterMs, sendRefusal } from './request-refusal';
import { RouterDependencies } from './router-dependencies';

const MAX_IDEMPOTENCY_KEY_LENGTH = 128;
/** Characters of the hash that stands for an idempotency key. */
const KEY_HASH_LENGTH = 32;

/** What a request is run under. */
interface RequestScope {
  service: Service;
  salt: string;
}

function refusal(status: number, code: string, reason: string): Either<RequestRefusal, never> {
  return Left({ status, code, reason });
}

/** The tenant of a request's key, where this router may serve. */
function checkCaller(
  router: RouterDependencies,
  call: IncomingRequest,
): Either<RequestRefusal, string> {
  const unavailable = { status: 503, retryAfterMs: retryAfterMs(router) };
  if (router.isDraining())
    return Left({ ...unavailable, code: 'draining', reason: 'this router is leaving' });
  if (!router.follower.hasLease()) {
    const reason = 'this router holds no claim at the core';
    return Left({ ...unavailable, code: 'no-claim', reason });
  }
  const key = /^Bearer (.+)$/.exec(call.headers.authorization ?? '')?.[1];
  const tenant = key === undefined ? undefined : router.tenants.tenantOf(sha256Hex(key));
  if (tenant === undefined) return refusal(401, 'bad-key', 'the tenant key is not known');
  return Right(tenant);
}

/** The service that a body names or its label finds, and the tenant's salt. */
function checkScope(
  router: RouterDependencies,
  tenant: string,
  body: GenerateBody,
): Either<RequestRefusal, RequestScope> {
  const service = router.tenants.serviceOf(tenant, body.service, body.label);
  if (service === 'missing') return refusal(404, 'no-service', 'no service or rule matches');
  if (service === 'foreign')
    return refusal(403, 'foreign-service', "the service is another tenant's");
  const salt = router.tenants.saltOf(tenant);
  if (salt === undefined) return refusal(403, 'no-tenant', 'the tenant is not of the intents');
  return Right({ service, salt });
}

/** The blocks of a body's prompt, which is text or tokens. */
function checkPrompt(
  { prompt, tokens }: GenerateBody,
  model: string,
): Either<RequestRefusal, PromptBlock[]> {
  if ((prompt === undefined) === (tokens === undefined))
    return refusal(400, 'bad-prompt', 'either prompt or tokens is needed');
  if (tokens && !tokens.every(isToken))
    return refusal(400, 'bad-prompt', 'tokens must be whole numbers from 0');
  const blocks = splitIntoBlocks(model, tokens ?? tokenise(prompt!));
  if (blocks.length === 0) return refusal(400, 'bad-prompt', 'the prompt is empty');
  return Right(blocks);
}

/** Why a body's bounds or a request's idempotency key are refused; nothing where they are sound. */
function boundsRefusal(
  body: GenerateBody,
  service: Service,
  key: string | undefined,
): RequestRefusal | undefined {
  if ((body.deadlineMs ?? 1) <= 0 || (body.maxTokens ?? 1) <= 0) {
    const reason = 'deadlineMs and maxTokens must be above 0';
    return { status: 400, code: 'bad-bounds', reason };
  }
  const code = 'no-idempotency-key';
  if (!service.mayRepeat && !key)
    return { status: 400, code, reason: 'this service needs an Idempotency-Key' };
  if (key === undefined || key.length <= MAX_IDEMPOTENCY_KEY_LENGTH) return undefined;
  const reason = `an Idempotency-Key has ${MAX_IDEMPOTENCY_KEY_LENGTH} characters at the most`;
  return { status: 400, code, reason };
}

function hashOfKey(tenant: string, key: string | undefined): string {
  return sha256Hex(JSON.stringify([tenant, key])).slice(0, KEY_HASH_LENGTH);
}

function checkBody(
  router: RouterDependencies,
  call: IncomingRequest,
  tenant: string,
  body: GenerateBody,
): Either<RequestRefusal, CheckedRequest> {
  const [unscoped, scope] = errorOrValue(checkScope(router, tenant, body));
  if (unscoped) return Left(unscoped);
  const { service, salt } = scope;
  const [badPrompt, blocks] = errorOrValue(checkPrompt(body, service.model));
  if (badPrompt) return Left(badPrompt);
  const key = call.headers['idempotency-key'];
  const badBounds = boundsRefusal(body, service, key);
  if (badBounds) return Left(badBounds);
  const now = router.ports.clock.now();
  return Right({
    tenant,
    salt,
    service,
    blocks,
    maxTokens: Math.min(body.maxTokens ?? service.maxTokens, service.maxTokens),
    arrivedAt: now,
    deadlineAt: now + Math.min(body.deadlineMs ?? service.deadlineMs, service.deadlineMs),
    idempotencyKey: service.mayRepeat ? undefined : hashOfKey(tenant, key),
  });
}

/** Reads and checks a request; nothing where it was answered already. */
export async function checkRequest(
  router: RouterDependencies,
  call: IncomingRequest,
): Promise<CheckedRequest | undefined> {
  const [badCaller, tenant] = errorOrValue(checkCaller(router, call));
  if (badCaller) return void sendRefusal(router, call, badCaller);
  const json = await readJsonBody(call, router.settings.bodyMostBytes);
  if (json === undefined) {
    router.counts.refused++;
    return undefined;
  }
  const [error, body] = errorOrValue(parseBody(GenerateBody, json, 'generate', call.peer));
  if (error) {
    const { code, reason } = error;
    return void sendRefusal(router, call, { status: 400, code: code!, reason });
  }
  const [badBody, checked] = errorOrValue(checkBody(router, call, tenant, body));
  if (badBody) return void sendRefusal(router, call, badBody);
  return checked;
}
