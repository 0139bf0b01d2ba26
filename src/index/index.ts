/**
 * The index of cached prefixes, after "Standalone KV Indexer" (`docs/paper.md`): prefix trees that are kept up by the
 * cache events of engines and stores, replicas that help each other out of gaps, and the load board of the routers.
 */

export { IndexApi, serveIndex } from './index-api';
export { Indexer, startIndexer } from './indexer';
