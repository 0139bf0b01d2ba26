/**
 * The modules of connections under one name, for the imports of other folders; `index.ts` offers the same.
 */

export * from './connection-pool';
export { Hello, PROTOCOL_VERSION, checkHello } from './hello';
export * from './hello-handlers';
export * from './idle-channels';
export * from './maintained-connection';
export * from './peer-channel';
