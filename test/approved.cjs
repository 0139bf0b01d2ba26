const path = require('node:path');

function resolveSnapshotPath(testPath, ext) {
  return path.join(__dirname, 'approved', path.basename(testPath) + ext);
}

function resolveTestPath(snapPath, ext) {
  return path.join(__dirname, '..', 'dist', 'test', path.basename(snapPath, ext));
}

module.exports = {
  resolveSnapshotPath,
  resolveTestPath,
  testPathForConsistencyCheck: path.join(__dirname, '..', 'dist', 'test', 'some.test.js'),
};
