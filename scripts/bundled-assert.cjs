/** Replaces `node:assert` in the bundle to reduce startup time; undici calls only `assert()` itself. */
module.exports = function assert(value, message) {
  if (!value) throw message instanceof Error ? message : new Error(message ?? 'assertion failed');
};
