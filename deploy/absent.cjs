module.exports = undefined;
