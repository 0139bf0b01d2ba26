/**
 * The routers: they take callers' requests, place each at an engine, and relay its answer.
 *
 * `platform-router` serves a platform by an adapter, with the gateway in `gateway/`. `router` is of our own manner:
 * `caller-api` → `request-validation`, `generate-attempts` → `engine-selector`, `generate-forwarding` → `piece-relay`.
 */

export { CallerApi } from './caller-api';
export { EngineTracker, trackEngines } from './engine-tracker';
export { acquireIdempotencyKey, KeyAcquisition, voterSetFingerprint } from './idempotency-keys';
export { RunningRouter, startDialectRouter } from './platform-router';
export { Router, startRouter } from './router';
