const path = require('node:path');

const COMPILED = path.join(__dirname, '..', 'dist', 'test');
const APPROVED = path.join(__dirname, 'approved');

/** Snapshots stand under test/approved, in the folder that the test has under test. */
function resolveSnapshotPath(testPath, extension) {
  return path.join(APPROVED, path.relative(COMPILED, testPath) + extension);
}

function resolveTestPath(snapshotPath, extension) {
  return path.join(COMPILED, path.relative(APPROVED, snapshotPath).slice(0, -extension.length));
}

module.exports = {
  resolveSnapshotPath,
  resolveTestPath,
  testPathForConsistencyCheck: path.join(COMPILED, 'tools', 'some.test.js'),
};
