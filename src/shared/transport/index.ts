/**
 * Messages between our own processes, and the handling of HTTP requests.
 *
 * - Connections: the handshake (`hello`), requests, responses and notifications over one connection (`peer-channel`), a
 *   connection that is kept up to a peer (`maintained-connection`) or to a set of peers (`connection-pool`), and closing
 *   of accepted connections that are idle (`idle-channels`).
 * - Messages: handlers by decorators (`message-handlers`), validation of bodies (`body-fields`), errors as they are sent
 *   (`wire-error`), compression (`compression`, `compressed-requests`), polls of a quorum (`quorum-poll`).
 * - HTTP: handlers by decorators, and the documented form of errors (`http-handlers`).
 */

export { BodyClass, bodyField, parseBody } from './body-fields';
export {
  CompressedRequestHandlers,
  compressedBodyBytes,
  requestCompressed,
} from './compressed-requests';
export { compress, decompress, deflate } from './compression';
export { ConnectionPool, makeConnectionPool } from './connection-pool';
export { checkHello, Hello, helloOf, PROTOCOL_VERSION } from './hello';
export { HelloHandlers } from './hello-handlers';
export {
  httpHandler,
  makeRequestListener,
  readBodyAs,
  readJsonBody,
  sendError,
  sendJson,
} from './http-handlers';
export { closeIdleChannels } from './idle-channels';
export {
  ConnectionOptions,
  maintainConnection,
  MaintainedConnection,
} from './maintained-connection';
export { dispatch, HandlerResult, messageHandler } from './message-handlers';
export { notConnected, openChannel, PeerChannel, requestOnce } from './peer-channel';
export { pollVoters } from './quorum-poll';
export { decodeError, encodeError, WireError } from './wire-error';
